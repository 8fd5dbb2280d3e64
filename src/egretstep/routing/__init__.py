"""Which server, owner and try a statement goes to."""
