"""Failover of primaries: terms, leases, elections and log positions."""
