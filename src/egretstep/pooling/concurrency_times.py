"""Service times by concurrency, independent of the mix of statements.

The logarithm of a service time is modelled as the mean of the statement's
kind plus the slowdown at the concurrency at which it ran. Logarithms keep the
few very long statements from dominating a mean. The kinds' means change over
tens of seconds, the slowdowns within about a second, so that a slower or
faster server shows in the slowdowns and a changed mix in neither.
"""

import collections
import dataclasses
import math

from egretstep import clock
from egretstep.pooling import concurrency_meter

Kind = tuple[object, ...]

MIN_SECONDS = 0.0001
# Standard deviation of the logarithm of the times of one kind.
SPREAD = 0.8
KIND_MEMORY_SECONDS = 30.0
KIND_COUNT_LIMIT = 256
# A kind with fewer samples has no reliable mean and tells of no slowdown.
MIN_KIND_WEIGHT = 10.0
# So does a level of concurrency; the trial that follows measures it again.
MIN_LEVEL_WEIGHT = 12.0
# A mean covers the longer of these two.
MEMORY_SAMPLES = 40
MEMORY_SECONDS = 0.5
# Older samples say nothing of the present speed of a server.
MAX_MEMORY_SECONDS = 2.0
# A level is rarely observed under a steady load. Its samples are kept until
# others replace them.
LEVEL_MEMORY_SECONDS = 3600.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Mean:
    """A decaying mean of samples, and the mean concurrency with them.

    `weight` is the number of samples that it covers, none of which is older
    than about `max_memory_seconds`.
    """

    value: float = 0.0
    concurrency: float = 0.0
    weight: float = 0.0
    updated_at: float = float('-inf')
    max_memory_seconds: float = MAX_MEMORY_SECONDS

    @property
    def error(self) -> float:
        """Return the standard error of a mean of slowdowns."""
        return SPREAD / math.sqrt(max(1, self.weight))

    def add(self, *, value: float, concurrency: float, now: float) -> None:
        """Add the value and the concurrency of one statement."""
        self.weight = self.weight * self._kept_share(now) + 1
        self.value += (value - self.value) / self.weight
        self.concurrency += (concurrency - self.concurrency) / self.weight
        self.updated_at = now

    def _kept_share(self, now: float) -> float:
        elapsed = now - self.updated_at
        by_count = 1 - 1 / MEMORY_SAMPLES
        by_time = math.exp(-elapsed / MEMORY_SECONDS)
        at_most = math.exp(-elapsed / self.max_memory_seconds)
        return min(max(by_count, by_time), at_most)


@dataclasses.dataclass(slots=True)
class _KindMean:
    """The mean logarithm of the times of one kind, in seconds."""

    value: float
    updated_at: float
    weight: float = 0.0


class Slowdowns:
    """The slowdown of a server at each concurrency from 1 to its slots.

    A slowdown is the logarithm of a factor. Its zero is arbitrary; only
    differences between two levels of concurrency have a meaning.

    >>> times = Slowdowns(slots=2, time_source=clock.ManualClock())
    >>> for _ in range(50):
    ...     _ = times.record(
    ...         kind=('read',),
    ...         run=concurrency_meter.Run(at_start=1, seconds=0.01),
    ...     )
    >>> for _ in range(50):
    ...     _ = times.record(
    ...         kind=('read',),
    ...         run=concurrency_meter.Run(at_start=2, seconds=0.02),
    ...     )
    >>> factor = math.exp(times.at_level(2).value - times.at_level(1).value)
    >>> 1.5 < factor <= 2
    True
    """

    def __init__(self, *, slots: int, time_source: clock.Clock) -> None:
        self._slots = slots
        self._clock = time_source
        self._kinds: collections.OrderedDict[Kind, _KindMean] = (
            collections.OrderedDict()
        )
        self._levels: dict[int, Mean] = {}

    def record(self, *, kind: Kind, run: concurrency_meter.Run) -> float | None:
        """Record a statement; return its slowdown.

        Returns None for a kind that is not known well enough. The statement
        counts for the concurrency at its start. The mean concurrency depends
        on its own duration: only short statements fit into a short lull.
        """
        level = min(self._slots, run.at_start)
        logarithm = math.log(max(MIN_SECONDS, run.seconds))
        kind_mean = self._kind_mean(kind, logarithm - self._nearest(level))
        is_known = kind_mean.weight >= MIN_KIND_WEIGHT
        slowdown = logarithm - kind_mean.value
        if is_known:
            self._level(level).add(
                value=slowdown,
                concurrency=run.concurrency,
                now=self._clock.now(),
            )
        self._update_kind(kind_mean, logarithm - self._nearest(level))
        return slowdown if is_known else None

    def at_level(self, level: int) -> Mean | None:
        """Return the slowdown at a concurrency, None if it is not known."""
        mean = self._levels.get(level)
        if mean is None or mean.weight < MIN_LEVEL_WEIGHT:
            return None
        return mean

    def bound(self, *, level: int, slowdown: float) -> None:
        """Limit the slowdowns up to a level.

        A server is not slower at a lower concurrency.
        """
        for each, mean in self._levels.items():
            if each <= level:
                mean.value = min(mean.value, slowdown)

    def replace(self, *, level: int, slowdown: float) -> None:
        """Set the slowdown at a level and shift those below it as much.

        The levels below were measured longer ago. What changed at this level
        has most likely changed there as well.
        """
        mean = self._level(level)
        change = slowdown - mean.value if mean.weight else 0
        mean.value = slowdown
        mean.weight = max(mean.weight, float(MEMORY_SAMPLES))
        mean.updated_at = self._clock.now()
        for each, lower in self._levels.items():
            if each < level:
                lower.value = min(lower.value + change, slowdown)

    def _level(self, level: int) -> Mean:
        mean = self._levels.get(level)
        if mean is None:
            mean = Mean(max_memory_seconds=LEVEL_MEMORY_SECONDS)
            self._levels[level] = mean
        return mean

    def _nearest(self, level: int) -> float:
        """Return the slowdown at the nearest known level, else zero."""
        known = [each for each, mean in self._levels.items() if mean.weight]
        if not known:
            return 0.0
        return self._levels[
            min(known, key=lambda each: abs(each - level))
        ].value

    def _kind_mean(self, kind: Kind, logarithm: float) -> _KindMean:
        kind_mean = self._kinds.get(kind)
        if kind_mean is None:
            kind_mean = _KindMean(value=logarithm, updated_at=self._clock.now())
            self._kinds[kind] = kind_mean
            if len(self._kinds) > KIND_COUNT_LIMIT:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(kind)
        return kind_mean

    def _update_kind(self, kind_mean: _KindMean, logarithm: float) -> None:
        now = self._clock.now()
        elapsed = now - kind_mean.updated_at
        kept = math.exp(-elapsed / KIND_MEMORY_SECONDS)
        kind_mean.weight = kind_mean.weight * kept + 1
        kind_mean.value += (logarithm - kind_mean.value) / kind_mean.weight
        kind_mean.updated_at = now
