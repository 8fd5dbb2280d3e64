"""Models of the core protocols, checked over all reachable states.

The failover and freshness models call the functions that the programs use,
so that a model can't diverge from the code. Each model has broken variants,
each without one mechanism, which the checker must refute.
"""
