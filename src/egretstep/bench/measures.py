"""Latencies, outcomes and service gaps of one load run."""

import collections
import dataclasses
import typing

from hdrh import histogram

from egretstep import clock

MIN_LATENCY_MICROSECONDS = 1
MAX_LATENCY_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
MEDIAN_PERCENTILE = 50
TAIL_PERCENTILE = 99
_MICROSECONDS_PER_SECOND = 1_000_000


class Latencies:
    """Histogram of latencies between one microsecond and one minute.

    Latencies outside this range count as the nearest bound.
    """

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            MIN_LATENCY_MICROSECONDS,
            MAX_LATENCY_MICROSECONDS,
            SIGNIFICANT_DIGITS,
        )

    def record(self, seconds: float) -> None:
        """Add one latency in seconds."""
        microseconds = round(seconds * _MICROSECONDS_PER_SECOND)
        self._histogram.record_value(
            min(
                max(microseconds, MIN_LATENCY_MICROSECONDS),
                MAX_LATENCY_MICROSECONDS,
            ),
        )

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile (0 to 100) in milliseconds, or 0 if empty."""
        latency_microseconds = self._histogram.get_value_at_percentile(
            percentile
        )
        return latency_microseconds / clock.MILLISECONDS_PER_SECOND

    @property
    def count(self) -> int:
        """Return the number of recorded latencies."""
        return self._histogram.get_total_count()


@dataclasses.dataclass(slots=True)
class GroupStatistics:
    """Latencies and outcomes of the operations of one caller group.

    `successes` holds the monotonic times in seconds at which operations
    succeeded, in ascending order.
    """

    latencies: Latencies = dataclasses.field(default_factory=Latencies)
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    successes: list[float] = dataclasses.field(default_factory=list)
    slowest_seconds: float = 0
    slowest_description: str = ''

    def record_success(
        self, *, now: float, seconds: float, sent: str = ''
    ) -> None:
        """Record an operation that succeeded at `now` after `seconds`.

        `sent` describes the statements of the operation and their times.
        """
        self.outcomes['done'] += 1
        self.latencies.record(seconds)
        self.successes.append(now)
        self._update_slowest(seconds, f'done in {seconds:.3f} s: {sent}')

    def record_failure(
        self, kind: str, *, seconds: float, sent: str = ''
    ) -> None:
        """Record an operation that failed with an error of a kind.

        Failures count as outcomes and as slow operations, but their
        latencies are left out of the histogram.
        """
        self.outcomes[kind] += 1
        self._update_slowest(seconds, f'{kind} after {seconds:.3f} s: {sent}')

    def longest_gap(self) -> float:
        """Return the longest time between two successes, in seconds.

        It is zero with fewer than two successes.
        """
        consecutive = zip(self.successes, self.successes[1:], strict=False)
        return max(
            (later - earlier for earlier, later in consecutive), default=0.0
        )

    def _update_slowest(self, seconds: float, text: str) -> None:
        if seconds > self.slowest_seconds:
            self.slowest_seconds = seconds
            self.slowest_description = text


def summarize(statistics: GroupStatistics) -> dict[str, typing.Any]:
    """Return the results of a group as they appear in a report."""
    return {
        'statements': sum(statistics.outcomes.values()),
        'outcomes': dict(statistics.outcomes),
        'median_ms': statistics.latencies.percentile_ms(MEDIAN_PERCENTILE),
        'p99_ms': statistics.latencies.percentile_ms(TAIL_PERCENTILE),
        'longest_gap_s': round(statistics.longest_gap(), 3),
    }
