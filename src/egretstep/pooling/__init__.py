"""Connections, queues, transactions and outcomes at the owner."""
