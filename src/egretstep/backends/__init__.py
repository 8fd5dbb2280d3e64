"""Connections to database and backend servers, their commands and answers."""
