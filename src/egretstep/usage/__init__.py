"""Counts the statements of each workspace and reports them to the platform."""
