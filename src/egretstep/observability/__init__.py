"""Metrics, traces and logs."""
