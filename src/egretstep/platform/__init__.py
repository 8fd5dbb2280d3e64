"""Adapter to the platform: its protocols, files and store.

The names that the platform uses on the wire and in its data occur only here.
"""
