"""Supervision of long-running tasks."""
