"""Soak test of real hosts with stand-ins and faults drawn from a seed."""
