"""Trials of another concurrency limit, and when the next one may start."""

import dataclasses
import math

from egretstep import clock
from egretstep.pooling import concurrency_times

# Shares of the logarithm of the gain in concurrency. At 1 the throughput is
# the same at both limits, at 0 it grows as the concurrency does. The gap
# between the two thresholds keeps the limit from alternating.
LOWERING_SHARE = 0.75
RAISING_SHARE = 0.6
# A trial ends early when it clearly fails or, of a lower limit, succeeds.
FUTILE_LOWERING_SHARE = 0.2
FUTILE_LOWERING_SAMPLES = 12
FUTILE_RAISING_SHARE = 1.2
FUTILE_RAISING_SAMPLES = 20
CLEAR_SHARE = 0.9
CLEAR_SAMPLES = 20
MIN_SAMPLES = 40
MIN_WINDOW_SECONDS = 0.3
MAX_TRIAL_SECONDS = 2.0
MIN_LATE_SAMPLES = 10
# Mean concurrency at which the limit counts as used, below the limit.
SATURATION_MARGIN = 0.5
MIN_PAUSE_SECONDS = 1.0
MAX_LOWERING_PAUSE_SECONDS = 8.0
MAX_RAISING_PAUSE_SECONDS = 2.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Trial:
    """A trial of `limit` after `before`, whose measurement is `reference`.

    Times are monotonic; slowdowns are logarithms of a factor.
    """

    limit: int
    before: int
    reference: concurrency_times.Mean
    started_at: float
    total: float = 0
    concurrency_total: float = 0
    samples: int = 0

    @property
    def is_lower(self) -> bool:
        """Tell whether the trial is of a lower limit."""
        return self.limit < self.before

    @property
    def mean(self) -> float:
        """Return the mean slowdown in the trial."""
        return self.total / max(1, self.samples)

    @property
    def slowdown_factor(self) -> float:
        """Return the factor between the times in the trial and before it."""
        if not self.samples:
            return 1
        return math.exp(self.mean - self.reference.value)

    @property
    def slowed_share(self) -> float:
        """Return the growth of the times as a share of the concurrency's.

        Shares are of logarithms. The share is 0 for a lower limit whose mean
        concurrency is not lower than before: it has no advantage.
        """
        gain = math.log(self._mean_concurrency / self.reference.concurrency)
        if self.is_lower and gain > 0:
            return 0
        return (self.mean - self.reference.value) / gain if gain else 0

    @property
    def is_used(self) -> bool:
        """Tell whether the limit on trial was reached."""
        return self._mean_concurrency >= self.limit - 2 * SATURATION_MARGIN

    @property
    def is_accepted(self) -> bool:
        """Tell whether the limit on trial is better than the one before."""
        if self.is_lower:
            return self.slowed_share >= LOWERING_SHARE
        return self.slowed_share <= RAISING_SHARE

    @property
    def is_futile(self) -> bool:
        """Tell whether the limit can be rejected before the trial is over."""
        if self.is_lower:
            return (
                self.samples >= FUTILE_LOWERING_SAMPLES
                and self.slowed_share < FUTILE_LOWERING_SHARE
            )
        return (
            self.samples >= FUTILE_RAISING_SAMPLES
            and self.slowed_share > FUTILE_RAISING_SHARE
        )

    @property
    def is_clear(self) -> bool:
        """Tell whether a lower limit can be accepted before its time."""
        return (
            self.is_lower
            and self.is_used
            and self.samples >= CLEAR_SAMPLES
            and self.slowed_share >= CLEAR_SHARE
        )

    def add(self, *, slowdown: float, concurrency: float) -> None:
        """Add a statement that started in the trial."""
        self.total += slowdown
        self.concurrency_total += concurrency
        self.samples += 1

    def is_over(self, now: float) -> bool:
        """Tell whether the trial has enough samples or lasted too long."""
        elapsed = now - self.started_at
        if elapsed >= MAX_TRIAL_SECONDS:
            return True
        if self.is_clear:
            return True
        return self.samples >= MIN_SAMPLES and elapsed >= MIN_WINDOW_SECONDS

    def is_decided(self) -> bool:
        """Tell whether the samples of a trial that is over suffice."""
        return self.samples >= MIN_LATE_SAMPLES and self.is_used

    @property
    def _mean_concurrency(self) -> float:
        return self.concurrency_total / max(1, self.samples)


class TrialSchedule:
    """Bounds the share of the time that rejected trials take.

    >>> time_source = clock.ManualClock()
    >>> schedule = TrialSchedule(time_source=time_source)
    >>> schedule.record_rejected(longest_pause=4)
    >>> schedule.is_due
    False
    >>> time_source.advance(1)
    >>> schedule.is_due
    True
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._pause = MIN_PAUSE_SECONDS
        self._next_at = time_source.now()

    @property
    def is_due(self) -> bool:
        """Tell whether a trial may start."""
        return self._clock.now() >= self._next_at

    def record_accepted(self) -> None:
        """Allow the next trial at once."""
        self._pause = MIN_PAUSE_SECONDS

    def record_undecided(self) -> None:
        """Wait for the shortest pause."""
        self._next_at = self._clock.now() + MIN_PAUSE_SECONDS

    def record_rejected(self, *, longest_pause: float) -> None:
        """Wait twice as long as after the rejection before, up to a bound."""
        self._next_at = self._clock.now() + self._pause
        self._pause = min(longest_pause, 2 * self._pause)
