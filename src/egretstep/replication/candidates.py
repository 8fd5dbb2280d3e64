"""The choice of the server that becomes the next primary.

A promoted server leads with what it has received, and nothing more. So the
first question is which servers have every acknowledged commit, and only among
those a server that takes new work is preferred.

Load pattern: a primary is lost while some of its replicas are behind, are
about to leave, or do not answer.
"""

import dataclasses
import typing

from egretstep import identifiers
from egretstep.backends import connection


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server and the status that it reported."""

    server: connection.BackendServer
    status: connection.ServerStatus


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """What is known of the acknowledged commits of a service.

    `found` are the registered servers that reported their status, and
    `unregistered` those that did so without an entry in the store: they may
    have received commits as well. `unknown_count` is the number of other
    servers that may hold commits, the former primary included.
    `acknowledged` is a position that covers every acknowledged commit, None
    if this host knows none. `sync_replicas` is the number of replicas that
    have received a commit before it is acknowledged. `can_catch_up` tells
    whether the former primary still runs, so that servers receive more.
    """

    found: typing.Sequence[Candidate]
    unknown_count: int
    acknowledged: identifiers.LogPosition | None
    sync_replicas: int
    can_catch_up: bool = False
    unregistered: typing.Sequence[Candidate] = ()

    @property
    def required(self) -> identifiers.LogPosition | None:
        """Return the position that a server must have received.

        A server that has received it lacks no acknowledged commit. Returns
        None if the position is not known.

        The acknowledged position may be too far: a server reports the end of
        its log, which other commits have reached that nobody has received
        yet.
        """
        received = self._received_by_enough()
        if received is None or self.can_catch_up:
            return self.acknowledged
        if self.acknowledged is None:
            return received
        return min(received, self.acknowledged)

    @property
    def complete(self) -> list[Candidate]:
        """Return the servers that certainly have every acknowledged commit."""
        required = self.required
        if required is None:
            return []
        return [each for each in self.found if each.status.received >= required]

    @property
    def complete_unregistered(self) -> list[Candidate]:
        """Return the complete servers that have no entry in the store."""
        required = self.required
        if required is None:
            return []
        return [
            each
            for each in self.unregistered
            if each.status.received >= required
        ]

    def _received_by_enough(self) -> identifiers.LogPosition | None:
        """Return the latest position of the servers that answered.

        None if more servers are unknown than there are synchronous replicas:
        then the latest acknowledged commit may be on none of those found.
        """
        reported = (*self.found, *self.unregistered)
        if not reported or self.unknown_count > self.sync_replicas:
            return None
        return max(each.status.received for each in reported)


def choose(
    evidence: Evidence,
    *,
    takes_work: typing.Callable[[connection.BackendServer], bool],
) -> Candidate | None:
    """Return the server to promote, None if acknowledged commits could be lost.

    Servers that take work are preferred among those that have every
    acknowledged commit. If only a server without an entry has them, it has to
    lead until others have its log. A service without synchronous replicas promises less:
    if no server is known to be complete, the most advanced one is returned.
    """
    complete = evidence.complete or evidence.complete_unregistered
    if not complete and evidence.sync_replicas:
        return None
    eligible = complete or _most_advanced(evidence.found)
    return max(
        eligible,
        key=lambda each: (takes_work(each.server), each.status.received),
        default=None,
    )


def _most_advanced(found: typing.Sequence[Candidate]) -> list[Candidate]:
    latest = max((each.status.received for each in found), default=None)
    return [each for each in found if each.status.received == latest]
