"""The programs of a host, one module for each."""
