"""Rendezvous hashing of keys to hosts.

All hosts compute the same order from the same names. When a host joins or
leaves, only the keys for which it scores highest change their owner.
"""

import functools
import typing

import xxhash

from egretstep import identifiers

MAX_CACHED_SCORES = 65_536


@functools.lru_cache(maxsize=MAX_CACHED_SCORES)
def score(*, key: str, host: str) -> int:
    """Return the score of a host for a key; the highest one is preferred."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{host}'.encode())


def best(
    *,
    key: str,
    hosts: typing.Iterable[identifiers.HostName],
) -> identifiers.HostName:
    """Return the preferred host for a key; `hosts` must not be empty."""
    return max(hosts, key=lambda host: (score(key=key, host=host), host))
