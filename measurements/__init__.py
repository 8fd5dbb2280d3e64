"""Measurements of the product and of its baselines, run by hand."""
