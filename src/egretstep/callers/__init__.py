"""The callers' side: MySQL protocol, keys, sessions."""
