"""Routing of statements: classification, choice of server, and retries."""
