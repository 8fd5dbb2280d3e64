"""Models of the core protocols, checked on all their states.

The models call the decisions of the code itself, so that the two can't
drift apart. Each model has broken variants that the checker must refute.
"""
