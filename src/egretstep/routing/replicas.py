"""Policies that choose the server of a read by log position, age and load."""

import dataclasses
import random
import typing

from egretstep import identifiers
from egretstep.settings import schema


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server that can serve a read, as the owner currently knows it.

    `applied` is the position up to which it has applied the log, `age_bound`
    the upper bound of the age of its data in seconds, and `load` the number
    of statements that run or wait there for each slot.
    """

    server: identifiers.ServerName
    is_primary: bool
    applied: identifiers.LogPosition
    age_bound: float
    load: float
    zone: identifiers.ZoneName


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The server of a read.

    The read must first wait until the server has applied the log up to
    `wait_for`, unless that is None.
    """

    server: identifiers.ServerName
    is_primary: bool
    wait_for: identifiers.LogPosition | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadNeeds:
    """What a read requires of its server.

    `floor` is the log position that the server must have applied. If
    `max_staleness` is given, in seconds, the position doesn't matter and the
    server's `age_bound` must not exceed it. Servers in `zone` are preferred.
    """

    floor: identifiers.LogPosition
    max_staleness: float | None = None
    zone: identifiers.ZoneName = identifiers.ZoneName('')


class ReadRouter(typing.Protocol):
    """Policy that chooses the server of a read."""

    def choose(
        self,
        *,
        needs: ReadNeeds,
        candidates: typing.Sequence[Candidate],
    ) -> Choice | None:
        """Return the chosen replica, or None for the primary."""


class SessionRouter:
    """Prefers replicas that fulfil the needs, then the least lagging one.

    A read waits a bounded time for a replica that has not reached the floor
    yet; after that the primary serves it.
    """

    def choose(
        self,
        *,
        needs: ReadNeeds,
        candidates: typing.Sequence[Candidate],
    ) -> Choice | None:
        """Return the least loaded replica that fulfils the needs.

        If there is none, the result is the replica that has applied most of
        the log, with a wait; or None if the read needs a `max_staleness`,
        because waiting for a position does not make the data recent.
        """
        replicas = [each for each in candidates if not each.is_primary]
        if not replicas:
            return None
        ready = [each for each in replicas if _is_ready(each, needs)]
        if ready:
            chosen = min(ready, key=lambda each: _preference(each, needs))
            return Choice(server=chosen.server, is_primary=False)
        if needs.max_staleness is not None:
            return None
        least_lagging = max(replicas, key=lambda each: each.applied)
        return Choice(
            server=least_lagging.server,
            is_primary=False,
            wait_for=needs.floor,
        )


class PrimaryRouter:
    """Sends all reads to the primary, as a baseline for measurements."""

    def choose(
        self,
        *,
        needs: ReadNeeds,
        candidates: typing.Sequence[Candidate],
    ) -> Choice | None:
        """Return None, which stands for the primary."""


class RandomReplicaRouter:
    """Sends reads to random replicas, as a baseline for measurements."""

    def __init__(self, *, seed: int | None = None) -> None:
        self._random = random.Random(seed)

    def choose(
        self,
        *,
        needs: ReadNeeds,
        candidates: typing.Sequence[Candidate],
    ) -> Choice | None:
        """Return a random replica, with a wait if it is below the floor."""
        replicas = [each for each in candidates if not each.is_primary]
        if not replicas:
            return None
        chosen = self._random.choice(replicas)
        is_ready = _is_ready(chosen, needs)
        if not is_ready and needs.max_staleness is not None:
            return None
        wait_for = None if is_ready else needs.floor
        return Choice(
            server=chosen.server,
            is_primary=False,
            wait_for=wait_for,
        )


def make_router(policy: schema.ReadPolicy) -> ReadRouter:
    """Return the router that implements a read policy."""
    if policy is schema.ReadPolicy.PRIMARY:
        return PrimaryRouter()
    if policy is schema.ReadPolicy.RANDOM_REPLICA:
        return RandomReplicaRouter()
    return SessionRouter()


def _is_ready(candidate: Candidate, needs: ReadNeeds) -> bool:
    if needs.max_staleness is not None:
        return candidate.age_bound <= needs.max_staleness
    return candidate.applied >= needs.floor


def _preference(
    candidate: Candidate, needs: ReadNeeds
) -> tuple[int, bool, str]:
    load_steps = int(candidate.load * 2)
    return load_steps, candidate.zone != needs.zone, candidate.server
