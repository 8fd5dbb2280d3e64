"""Property tests with fixed seeds."""
