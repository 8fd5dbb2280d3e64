"""Load generator that checks consistency guarantees and reports results."""
