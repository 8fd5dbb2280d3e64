"""Ranking of hosts for a key, and the probe ring of the agents."""

import typing

from egretstep import identifiers
from egretstep.membership import members, rendezvous
from egretstep.settings import schema


def rank(
    *,
    key: str,
    hosts: typing.Iterable[members.Member],
) -> list[members.Member]:
    """Return the hosts by descending rendezvous score for a key."""
    return sorted(
        hosts,
        key=lambda member: (
            rendezvous.score(key=key, host=member.host),
            member.host,
        ),
        reverse=True,
    )


def is_zone_in(
    zone: identifiers.ZoneName | str,
    fleet: schema.FleetSettings,
) -> bool:
    """Return whether an availability zone takes new work.

    A zone that the settings do not name does.
    """
    known = fleet.zones.get(zone)
    return known is None or known.state is schema.AvailabilityState.IN


def probe_targets(
    *,
    own: identifiers.HostName,
    hosts: typing.Iterable[members.Member],
) -> list[members.Member]:
    """Return the hosts that this one probes.

    All hosts are placed on a ring in the order of a hash, and each one probes
    those at distances 1, 2, 4, 8 and so on. So every host is probed by as
    many hosts as it probes itself. That number grows with the logarithm of
    the fleet, and a report reaches every host in as many steps.
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
