"""Database groups: leases, terms, failover, replicas and positions."""
