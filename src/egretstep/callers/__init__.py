"""Callers' connections: sessions, API keys and the MySQL protocol."""
