"""Owners of all databases, kept up to date at the cost of each change.

A fleet of many hosts and databases can't afford to rank all pairs whenever
a host comes or goes. When one joins, it is compared with the current owner
of each database; when one leaves, only the databases it owned are ranked
again, and those on their next use.
"""

import typing

from egretstep import identifiers
from egretstep.membership import members, ranking, rendezvous
from egretstep.settings import schema


class OwnershipTable:
    """The host that should own each database, looked up on use."""

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
        """Follow a change of hosts or availability zones."""
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
        """Return the host that should own a database."""
        if not self._hosts:
            return None
        host = self._owners.get(database)
        if host is None:
            host = rendezvous.best(key=database, hosts=self._hosts)
            self._owners[database] = host
        return self._hosts[host]

    def host(self, name: identifiers.HostName) -> members.Member | None:
        """Return a host that may own databases."""
        return self._hosts.get(name)


def eligible_owners(
    *,
    hosts: typing.Iterable[members.Member],
    fleet: schema.FleetSettings,
) -> list[members.Member]:
    """Return the hosts that may own databases.

    Hosts that leave, that have no pool or whose availability zone is out
    may not. When that leaves none, zones that are out are allowed again,
    because running work in them must still end.
    """
    able = [member for member in hosts if member.can_own]
    inside = [
        member for member in able if ranking.is_zone_in(member.zone, fleet)
    ]
    return inside or able
