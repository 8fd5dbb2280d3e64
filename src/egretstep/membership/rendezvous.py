"""Rendezvous hashing: which host is preferred for a key.

Every host computes the same order from the same names. When a host joins
or leaves, only what it owns or wins changes its owner.
"""

import functools
import typing

import xxhash

from egretstep import identifiers

SCORES_KEPT = 65_536


@functools.lru_cache(maxsize=SCORES_KEPT)
def score(*, key: str, host: str) -> int:
    """Return the weight of a host for a key; the highest one wins."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{host}'.encode())


def best(
    *,
    key: str,
    hosts: typing.Iterable[identifiers.HostName],
) -> identifiers.HostName:
    """Return the preferred host for a key."""
    return max(hosts, key=lambda host: (score(key=key, host=host), host))
