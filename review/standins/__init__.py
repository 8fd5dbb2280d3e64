"""Stand-ins for the review's scripts: store, platform, servers and callers.

They need nothing but Python's standard library.
"""
