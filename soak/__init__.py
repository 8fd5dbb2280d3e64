"""Fault soak: real programs, stand-ins, and seeded faults from outside."""
