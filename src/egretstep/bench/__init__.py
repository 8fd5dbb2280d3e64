"""Workload models, load, checks of promises, and reports."""
