"""Connections to database servers, and what their answers mean."""
