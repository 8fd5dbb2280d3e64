"""Misbehaving clients against the real program of a host.

Each test starts one host with limits that are low in its settings file. The
numbers of clients and the bounds are part of the requirement: they were fixed
while the program had none of the limits, and each test failed then unless its
doc comment says otherwise.
"""
