"""Runs statements on database servers.

Holds the connection pools, the fair queues, the pinned transactions and the
answers about failed statements.
"""
