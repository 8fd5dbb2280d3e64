"""Measurements of egretstep and its baselines, which are run manually."""
