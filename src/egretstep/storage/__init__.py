"""Clients, copies and change feeds of the tables in the platform's store."""
