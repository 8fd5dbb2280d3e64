"""Owners of all databases, updated incrementally.

Ranking all hosts for all databases at each change of the hosts would be too
slow in a large fleet. A host that joins is only compared with the current
owner of each database. When a host leaves, only the databases that it owned
are ranked again, each on its next look-up.
"""

import typing

from egretstep import identifiers
from egretstep.membership import members, ranking, rendezvous
from egretstep.settings import schema


class OwnershipTable:
    """The host that should own each database, computed on first use."""

    def __init__(self) -> None:
        self._hosts: dict[identifiers.HostName, members.Member] = {}
        self._owners: dict[
            identifiers.DatabaseName,
            identifiers.HostName,
        ] = {}

    def update(
        self,
        *,
        hosts: typing.Iterable[members.Member],
        fleet: schema.FleetSettings,
    ) -> None:
        """Replace the hosts; `fleet` says which availability zones are out."""
        eligible = {
            member.host: member
            for member in eligible_owners(hosts=hosts, fleet=fleet)
        }
        joined = eligible.keys() - self._hosts.keys()
        left = self._hosts.keys() - eligible.keys()
        self._hosts = eligible
        if not joined and not left:
            return
        for database, owner in list(self._owners.items()):
            if owner in left:
                self._owners.pop(database)
            elif joined:
                self._owners[database] = rendezvous.best(
                    key=database,
                    hosts=[owner, *joined],
                )

    def owner(
        self,
        database: identifiers.DatabaseName,
    ) -> members.Member | None:
        """Return the host that should own a database, None without hosts."""
        if not self._hosts:
            return None
        host = self._owners.get(database)
        if host is None:
            host = rendezvous.best(key=database, hosts=self._hosts)
            self._owners[database] = host
        return self._hosts[host]

    def host(self, name: identifiers.HostName) -> members.Member | None:
        """Return a host by name, None if it may not own databases."""
        return self._hosts.get(name)


def eligible_owners(
    *,
    hosts: typing.Iterable[members.Member],
    fleet: schema.FleetSettings,
) -> list[members.Member]:
    """Return the hosts that may own databases.

    Hosts that are leaving, whose pool is not up or whose availability zone
    is out may not. If no host is left, those in zones that are out may, so
    that work which is still running there can finish.
    """
    usable = [member for member in hosts if member.can_own]
    in_zone = [
        member for member in usable if ranking.is_zone_in(member.zone, fleet)
    ]
    return in_zone or usable
