"""Rendezvous hashing, and the ring on which agents probe each other.

Every host computes the same order from the same names. When a host joins
or leaves, only what it owns or wins changes its owner.
"""

import functools
import typing

import xxhash

from egretstep import identifiers
from egretstep.membership import members
from egretstep.settings import schema

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


def rank(
    *,
    key: str,
    hosts: typing.Iterable[members.Member],
) -> list[members.Member]:
    """Return the hosts from the most to the least preferred for a key."""
    return sorted(
        hosts,
        key=lambda member: (score(key=key, host=member.host), member.host),
        reverse=True,
    )


def is_zone_in(
    zone: identifiers.ZoneName | str,
    fleet: schema.FleetSettings,
) -> bool:
    """Tell whether an availability zone takes new work."""
    known = fleet.zones.get(zone)
    return known is None or known.state is schema.PlaceState.IN


def probe_targets(
    *,
    own: identifiers.HostName,
    hosts: typing.Iterable[members.Member],
) -> list[members.Member]:
    """Return the hosts that this one probes.

    Hosts stand on a ring in the order of a hash, and each one probes those
    at distances 1, 2, 4, 8 and so on. Every host is probed by as many as it
    probes, the number grows with the logarithm of the fleet, and news
    crosses the ring in as many steps.
    """
    ring = rank(key='ring', hosts=hosts)
    names = [member.host for member in ring]
    if own not in names:
        return ring
    start = names.index(own)
    targets = []
    distance = 1
    while distance < len(ring):
        targets.append(ring[(start + distance) % len(ring)])
        distance *= 2
    return targets
