"""Chooses the server for a read among those that may run it.

Load pattern: one replica is full, slow or failing, and many hosts send their
reads by load data that is up to seconds old. Reads go where they are expected
to end first. Servers that are nearly equal are chosen at random, so that the
hosts do not all move to the same server at once. Reads leave a primary that
is in use, because the other statements can run only there.
"""

import dataclasses
import enum
import random
import typing

from egretstep.backends import connection
from egretstep.routing import server_loads

OWN_ZONE_HOP_SECONDS = 0.001
OTHER_ZONE_HOP_SECONDS = 0.003
# Bytes between availability zones are charged, so that a server of another
# zone must be faster by this share of the time that the caller waits for.
ZONE_MARGIN_SHARE = 0.25
MIN_ZONE_MARGIN_SECONDS = 0.02
# At this share of the primary's capacity, the cost of a read there is that of
# a read in another zone.
PRIMARY_USE_LIMIT = 0.75
UNKNOWN_SERVICE_SECONDS = 0.03
NEAR_SECONDS = 0.005
NEAR_SHARE = 0.2
MAX_FAILURE_SHARE = 0.9
# Probes take at most this share of the reads of a service that a host sends.
PROBE_SHARE = 0.2
# Share of the reads that go to a replica of the own zone without any load
# data. Without them, a replica that has come back gets none in calm, because
# it counts as moderately loaded.
EXPLORATION_SHARE = 0.1


class Hop(enum.Enum):
    """Where the host is that runs the statements of a server."""

    OWN_HOST = 0.0
    OWN_ZONE = OWN_ZONE_HOP_SECONDS
    OTHER_ZONE = OTHER_ZONE_HOP_SECONDS


class Reason(enum.Enum):
    """Why a server was chosen."""

    NO_LOAD_DATA = 'no load data'
    FASTEST = 'fastest'
    NEAR_EQUAL = 'near-equal'
    PROBE = 'probe'
    EXPLORATION = 'exploration'
    NEXT = 'next after a refusal'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server that may run a read.

    `is_remote` tells whether it is in another availability zone. `unanswered`
    counts this host's statements that the load data can't show.
    """

    server: connection.BackendServer
    is_primary: bool
    is_remote: bool
    hop: Hop = Hop.OWN_ZONE
    report: server_loads.LoadReport | None = None
    unanswered: int = 0
    is_trusted: bool = True
    is_probe_due: bool = False

    @property
    def is_unexplored(self) -> bool:
        """Tell whether this is a replica of the own zone, without load data.

        One that has not answered this host's statements yet is not asked more.
        """
        has_data = self.report is not None or self.unanswered
        return not (has_data or self.is_primary or self.is_remote)

    @property
    def service_seconds(self) -> float:
        """Return the mean time of a statement in a slot, as last known."""
        if self.report is None:
            return UNKNOWN_SERVICE_SECONDS
        return self.report.load.service_seconds or UNKNOWN_SERVICE_SECONDS

    @property
    def capacity(self) -> float:
        """Return how many statements the server takes well at once."""
        if self.report is None:
            return max(1, self.server.slots)
        return max(1, self.report.load.capacity)

    @property
    def use(self) -> float:
        """Return the share of the capacity in use, above one with a queue.

        Load data counts less while it ages: a host that sends its reads
        elsewhere because of one snapshot gets no later one.
        """
        count: float = self.unanswered
        if self.report is not None and self.report.is_current:
            load = self.report.load
            count += (1 - self._aged) * (load.running + load.waiting)
        return count / self.capacity

    @property
    def _aged(self) -> float:
        """Return the age of the load data as a share of its use."""
        age = self.report.age if self.report else server_loads.MAX_AGE_SECONDS
        return min(1, age / server_loads.MAX_AGE_SECONDS)

    def expected_wait(self, priority: int) -> float:
        """Return the expected wait for a slot in seconds.

        Load data turns into an unknown wait, that of one service time, while
        it ages.
        """
        own_wait = self.unanswered * self.service_seconds / self.capacity
        if self.report is None:
            return self.service_seconds + own_wait
        reported = self.report.load.wait(priority=priority)
        wait = (1 - self._aged) * reported + self._aged * self.service_seconds
        return wait + own_wait


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The server for an attempt, and why it was chosen."""

    candidate: Candidate
    reason: Reason


def zone_margin(*, target: float | None, timeout: float) -> float:
    """Return by how much a server of another zone must be faster, in seconds.

    >>> zone_margin(target=0.5, timeout=1.2), zone_margin(target=0, timeout=1)
    (0.125, 0.02)
    """
    allowed = timeout if target is None else target
    return max(MIN_ZONE_MARGIN_SECONDS, ZONE_MARGIN_SHARE * allowed)


def cost(candidate: Candidate, *, priority: int, margin: float) -> float:
    """Return the expected seconds to completion, with the margins added.

    A failure costs another attempt. The extra cost of the primary grows with
    the square of its use.
    """
    expected = (
        candidate.expected_wait(priority)
        + candidate.service_seconds
        + candidate.hop.value
    )
    if candidate.report is not None and candidate.report.is_current:
        share = min(candidate.report.load.failure_share, MAX_FAILURE_SHARE)
        expected /= 1 - share
    if candidate.is_remote:
        expected += margin
    if candidate.is_primary:
        expected += margin * (candidate.use / PRIMARY_USE_LIMIT) ** 2
    return expected


def choose_first(
    candidates: typing.Sequence[Candidate],
    *,
    priority: int,
    margin: float,
    rng: random.Random,
) -> Choice | None:
    """Choose the server for the first attempt; None without candidates."""
    pool = _pool(candidates)
    if len(pool) < len(candidates):
        probed = [each for each in candidates if each.is_probe_due]
        if probed and rng.random() < PROBE_SHARE:
            return Choice(candidate=rng.choice(probed), reason=Reason.PROBE)
    unknown = [each for each in pool if each.is_unexplored]
    if 0 < len(unknown) < len(pool) and rng.random() < EXPLORATION_SHARE:
        return Choice(candidate=rng.choice(unknown), reason=Reason.EXPLORATION)
    return _choose(pool, priority=priority, margin=margin, rng=rng)


def choose_next(
    candidates: typing.Sequence[Candidate],
    tried: typing.Collection[connection.ServerId],
    *,
    priority: int,
    margin: float,
    rng: random.Random,
) -> Choice | None:
    """Choose a server that was not tried, the primary last; None without."""
    untried = [
        each for each in _pool(candidates) if each.server.server not in tried
    ]
    replicas = [each for each in untried if not each.is_primary]
    choice = _choose(
        replicas or untried, priority=priority, margin=margin, rng=rng
    )
    if choice is None:
        return None
    return dataclasses.replace(choice, reason=Reason.NEXT)


def _pool(candidates: typing.Sequence[Candidate]) -> list[Candidate]:
    """Return the trusted candidates, or all if most are not trusted."""
    trusted = [each for each in candidates if each.is_trusted]
    if 2 * len(trusted) < len(candidates):
        return list(candidates)
    return trusted


def _choose(
    pool: typing.Sequence[Candidate],
    *,
    priority: int,
    margin: float,
    rng: random.Random,
) -> Choice | None:
    if not pool:
        return None
    if all(each.report is None for each in pool):
        return _choose_by_zone(pool, rng)
    costs = [
        (cost(each, priority=priority, margin=margin), each) for each in pool
    ]
    lowest = min(each[0] for each in costs)
    limit = lowest + max(NEAR_SECONDS, NEAR_SHARE * lowest)
    near = [each for value, each in costs if value <= limit]
    near = [each for each in near if not each.is_primary] or near
    reason = Reason.NEAR_EQUAL if len(near) > 1 else Reason.FASTEST
    return Choice(candidate=rng.choice(near), reason=reason)


def _choose_by_zone(
    pool: typing.Sequence[Candidate],
    rng: random.Random,
) -> Choice:
    """Choose a replica of the own zone, the primary there, or any replica."""
    replicas = [each for each in pool if not each.is_primary]
    own_replicas = [each for each in replicas if not each.is_remote]
    own_primaries = [
        each for each in pool if each.is_primary and not each.is_remote
    ]
    preferred = own_replicas or own_primaries or replicas or pool
    return Choice(candidate=rng.choice(preferred), reason=Reason.NO_LOAD_DATA)
