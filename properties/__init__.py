"""Property tests; each run generates the same examples."""
