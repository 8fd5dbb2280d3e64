"""Clients of the platform: table service, host list, database control."""
