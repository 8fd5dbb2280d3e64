"""Hosts of the fleet: who is up, and who owns which database."""
