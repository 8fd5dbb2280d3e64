"""The programs of a host and the operators' command line."""
