"""Latencies, outcomes and gaps of one run."""

import collections
import dataclasses
import typing

from hdrh import histogram

from egretstep import clock

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
DIGITS = 3
MEDIAN = 50
HIGH_PERCENTILE = 99
_MICROSECONDS = 1_000_000


class Latencies:
    """A histogram of latencies."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            LOWEST_MICROSECONDS,
            HIGHEST_MICROSECONDS,
            DIGITS,
        )

    def record(self, seconds: float) -> None:
        """Add one latency."""
        microseconds = round(seconds * _MICROSECONDS)
        self._histogram.record_value(
            min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS),
        )

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds, zero without records."""
        at_percentile = self._histogram.get_value_at_percentile(percentile)
        return at_percentile / clock.MILLISECONDS_PER_SECOND

    @property
    def count(self) -> int:
        """Return how many latencies were recorded."""
        return self._histogram.get_total_count()


@dataclasses.dataclass(slots=True)
class GroupMeasures:
    """What one group of callers saw."""

    latencies: Latencies = dataclasses.field(default_factory=Latencies)
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    successes: list[float] = dataclasses.field(default_factory=list)
    slowest: float = 0
    slowest_text: str = ''

    def success(self, *, now: float, seconds: float, sent: str = '') -> None:
        """Note a statement that was answered."""
        self.outcomes['done'] += 1
        self.latencies.record(seconds)
        self.successes.append(now)
        self._note_slowest(seconds, f'done in {seconds:.3f} s: {sent}')

    def failure(self, kind: str, *, seconds: float, sent: str = '') -> None:
        """Note a statement that ended in an error."""
        self.outcomes[kind] += 1
        self._note_slowest(seconds, f'{kind} after {seconds:.3f} s: {sent}')

    def longest_gap(self) -> float:
        """Return the longest time without a success, in seconds."""
        pairs = zip(self.successes, self.successes[1:], strict=False)
        return max((later - earlier for earlier, later in pairs), default=0.0)

    def _note_slowest(self, seconds: float, text: str) -> None:
        if seconds > self.slowest:
            self.slowest = seconds
            self.slowest_text = text


def summary(measures: GroupMeasures) -> dict[str, typing.Any]:
    """Return the figures of a group for a report."""
    return {
        'statements': sum(measures.outcomes.values()),
        'outcomes': dict(measures.outcomes),
        'median_ms': measures.latencies.percentile_ms(MEDIAN),
        'p99_ms': measures.latencies.percentile_ms(HIGH_PERCENTILE),
        'longest_gap_s': round(measures.longest_gap(), 3),
    }
