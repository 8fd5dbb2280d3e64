"""Membership: the hosts, their leases on tasks, and database owners."""
