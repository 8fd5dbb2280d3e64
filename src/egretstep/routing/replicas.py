"""Choice of the server for a read: by position, age and load."""

import dataclasses
import random
import typing

from egretstep import identifiers
from egretstep.settings import schema


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server that takes reads, as the owner knows it now."""

    server: identifiers.ServerName
    is_primary: bool
    applied: identifiers.LogPosition
    age_bound: float
    load: float
    zone: identifiers.ZoneName


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """Where a read goes, and whether it must wait there for a position."""

    server: identifiers.ServerName
    is_primary: bool
    wait_for: identifiers.LogPosition | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadNeeds:
    """What a read asks of its server.

    `floor` is the position it must see. With `longest_age`, in seconds, it
    must be a server whose data is surely younger instead.
    """

    floor: identifiers.LogPosition
    longest_age: float | None = None
    zone: identifiers.ZoneName = identifiers.ZoneName('')


class ReadRouter(typing.Protocol):
    """A policy that chooses the server of a read."""

    def choose(
        self,
        *,
        needs: ReadNeeds,
        candidates: typing.Sequence[Candidate],
    ) -> Choice | None:
        """Return the choice, or none when the primary must serve."""


class SessionRouter:
    """Replicas that are far enough first, then the one nearest to it.

    A replica that is not yet at the floor is given a bounded wait; the
    primary serves when that was not enough.
    """

    def choose(
        self,
        *,
        needs: ReadNeeds,
        candidates: typing.Sequence[Candidate],
    ) -> Choice | None:
        """Return the least loaded replica that will do."""
        replicas = [each for each in candidates if not each.is_primary]
        if not replicas:
            return None
        ready = [each for each in replicas if _is_ready(each, needs)]
        if ready:
            chosen = min(ready, key=lambda each: _cost(each, needs))
            return Choice(server=chosen.server, is_primary=False)
        if needs.longest_age is not None:
            return None
        furthest = max(replicas, key=lambda each: each.applied)
        return Choice(
            server=furthest.server,
            is_primary=False,
            wait_for=needs.floor,
        )


class PrimaryRouter:
    """All reads to the primary: a baseline for measurements."""

    def choose(
        self,
        *,
        needs: ReadNeeds,
        candidates: typing.Sequence[Candidate],
    ) -> Choice | None:
        """Return none, so that the primary serves."""


class RandomReplicaRouter:
    """Any replica, with a wait for the floor: a baseline."""

    def __init__(self, *, seed: int | None = None) -> None:
        self._random = random.Random(seed)

    def choose(
        self,
        *,
        needs: ReadNeeds,
        candidates: typing.Sequence[Candidate],
    ) -> Choice | None:
        """Return a random replica."""
        replicas = [each for each in candidates if not each.is_primary]
        if not replicas:
            return None
        chosen = self._random.choice(replicas)
        is_ready = _is_ready(chosen, needs)
        if not is_ready and needs.longest_age is not None:
            return None
        wait_for = None if is_ready else needs.floor
        return Choice(
            server=chosen.server,
            is_primary=False,
            wait_for=wait_for,
        )


def make_router(policy: schema.ReadPolicy) -> ReadRouter:
    """Return the router of a policy."""
    if policy is schema.ReadPolicy.PRIMARY:
        return PrimaryRouter()
    if policy is schema.ReadPolicy.RANDOM_REPLICA:
        return RandomReplicaRouter()
    return SessionRouter()


def _is_ready(candidate: Candidate, needs: ReadNeeds) -> bool:
    if needs.longest_age is not None:
        return candidate.age_bound <= needs.longest_age
    return candidate.applied >= needs.floor


def _cost(candidate: Candidate, needs: ReadNeeds) -> tuple[int, bool, str]:
    load_steps = int(candidate.load * 2)
    return load_steps, candidate.zone != needs.zone, candidate.server
