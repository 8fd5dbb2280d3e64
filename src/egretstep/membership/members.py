"""Table of hosts, merged from gossip reports that arrive in any order.

Reports about one host are ordered by its incarnation, which only the host
itself raises, and then by the severity of the reported state. A host that
receives a wrong report about itself refutes it by raising its incarnation.
"""

import dataclasses
import enum
import typing

from egretstep import clock, identifiers

DEAD_RETENTION_SECONDS = 120.0


class MemberState(enum.Enum):
    """State of a host as reported in the fleet, from least to most severe."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class PoolState(enum.Enum):
    """State of a host's pool program.

    A pool that is `LEAVING` serves the databases that it owns until it has
    handed them over.
    """

    DOWN = 'down'
    LEAVING = 'leaving'
    UP = 'up'


_SEVERITY = {state: rank for rank, state in enumerate(MemberState)}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A report about a host.

    `address` and the ports are where the host's programs listen.
    """

    host: identifiers.HostName
    zone: identifiers.ZoneName
    address: str
    agent_port: int
    pool_port: int
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    pool: PoolState = PoolState.DOWN

    @property
    def precedence(self) -> tuple[int, int]:
        """Return the sort key: of two reports the greater one wins."""
        return self.incarnation, _SEVERITY[self.state]

    @property
    def is_reachable(self) -> bool:
        """Return whether the host is not known to be dead."""
        return self.state is not MemberState.DEAD

    @property
    def can_own(self) -> bool:
        """Return whether the host may be given databases to own."""
        usable = self.state in {MemberState.ALIVE, MemberState.SUSPECT}
        return usable and self.pool is PoolState.UP

    @property
    def may_still_own(self) -> bool:
        """Return whether the host may still own databases it was given."""
        return self.is_reachable and self.pool is not PoolState.DOWN


class MemberTable:
    """The latest report about each host."""

    def __init__(self, *, own: Member, time_source: clock.Clock) -> None:
        self._own = own
        self._clock = time_source
        self._members: dict[identifiers.HostName, Member] = {own.host: own}
        self._died_at: dict[identifiers.HostName, float] = {}
        self._revision = 1

    @property
    def revision(self) -> int:
        """Return a number that grows with every change of the table."""
        return self._revision

    @property
    def own(self) -> Member:
        """Return the report about this host."""
        return self._own

    def all(self) -> list[Member]:
        """Return all reports, those about dead hosts included."""
        return list(self._members.values())

    def get(self, host: identifiers.HostName) -> Member | None:
        """Return the report about a host, None if it is unknown."""
        return self._members.get(host)

    def others(self) -> list[Member]:
        """Return the reports about the other hosts that are reachable."""
        return [
            member
            for member in self._members.values()
            if member.host != self._own.host and member.is_reachable
        ]

    def merge(self, report: Member) -> bool:
        """Merge a report; return whether it changed the table."""
        if report.host == self._own.host:
            return self._refute(report)
        known = self._members.get(report.host)
        if known and report.precedence <= known.precedence:
            return False
        self._set(report)
        return True

    def add_listed_host(self, member: Member) -> bool:
        """Add a host of the platform's list; return whether it was unknown.

        The list lags behind, so it never replaces a report.
        """
        if member.host in self._members:
            return False
        self._set(member)
        return True

    def update_own(
        self,
        *,
        state: MemberState | None = None,
        pool: PoolState | None = None,
    ) -> Member:
        """Change this host's own report and raise its incarnation."""
        self._own = dataclasses.replace(
            self._own,
            incarnation=self._own.incarnation + 1,
            state=self._own.state if state is None else state,
            pool=self._own.pool if pool is None else pool,
        )
        self._set(self._own)
        return self._own

    def forget_dead(self) -> None:
        """Remove hosts that were dead for `DEAD_RETENTION_SECONDS`."""
        limit = self._clock.now() - DEAD_RETENTION_SECONDS
        overdue = [
            host for host, died_at in self._died_at.items() if died_at < limit
        ]
        for host in overdue:
            self._members.pop(host, None)
            self._died_at.pop(host)

    def _refute(self, report: Member) -> bool:
        if report.precedence <= self._own.precedence:
            return False
        self._own = dataclasses.replace(
            self._own,
            incarnation=report.incarnation + 1,
        )
        self._set(self._own)
        return True

    def _set(self, member: Member) -> None:
        self._members[member.host] = member
        self._revision += 1
        if member.state is MemberState.DEAD:
            self._died_at[member.host] = self._clock.now()
        else:
            self._died_at.pop(member.host, None)


def from_message(message: typing.Any) -> Member:
    """Decode a report from its Cap'n Proto message."""
    return Member(
        host=message.host,
        zone=message.zone,
        address=message.address,
        agent_port=message.agentPort,
        pool_port=message.poolPort,
        incarnation=message.incarnation,
        state=MemberState(str(message.state)),
        pool=PoolState(str(message.pool)),
    )


def to_message(member: Member) -> dict[str, typing.Any]:
    """Return the fields of a report's Cap'n Proto message."""
    return {
        'host': member.host,
        'zone': member.zone,
        'address': member.address,
        'agentPort': member.agent_port,
        'poolPort': member.pool_port,
        'incarnation': member.incarnation,
        'state': member.state.value,
        'pool': member.pool.value,
    }
