"""Supervisor tree of the programs."""
