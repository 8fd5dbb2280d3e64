"""Learns how many concurrent statements a server handles well.

Load pattern: a server is saturated, and some servers slow down long before
all their slots are in use, others become slow at any concurrency, and the mix
of short and long statements changes. The limit is lowered only if fewer
concurrent statements give the same throughput: statements at the higher
concurrency then take longer in proportion to the concurrency.

The decision needs measurements of both limits at about the same time. A
suspicion, from older measurements at the lower concurrency, therefore starts a
trial of the lower limit for a fraction of a second. A server that is slow at
any concurrency fails it and keeps its limit. A lower concurrency that was never
observed is tried once. A lowered limit is probed upwards in the same way.
"""

import dataclasses
import enum
import math

from egretstep import clock
from egretstep.pooling import (
    busy_ceiling,
    capacity_trials,
    concurrency_meter,
    concurrency_times,
)

# Samples in the decaying mean of the present limit that a decision needs. A
# slow server gives fewer; its limit may then only be raised.
MIN_WEIGHT = 24.0
MIN_SLOW_WEIGHT = 5.0
# A limit that was in use for this long is compared with one not known yet.
UNKNOWN_LIMIT_SECONDS = 1.0
UNUSED_SECONDS = 3.0
UNUSED_STEP_SECONDS = 1.0


class Reason(enum.Enum):
    """Why the limit changed."""

    TRIAL = 'trial'
    SAME_THROUGHPUT = 'same throughput with fewer statements'
    MORE_THROUGHPUT = 'more throughput with more statements'
    REJECTED = 'no better in the trial'
    UNDECIDED = 'too few statements in the trial'
    UNUSED = 'limit not used'
    BUSY = 'the server is full'
    RECOVERED = 'the server is no longer full'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A change of the limit, with what it was based on.

    `slowdown` is the factor between the service times of the trial and those
    before it, `samples` the number of statements in the trial and `seconds`
    its duration.
    """

    before: int
    limit: int
    reason: Reason
    slowdown: float = 1
    samples: int = 0
    seconds: float = 0


class CapacityEstimator:
    """The limit of concurrent statements of one server.

    >>> estimator = CapacityEstimator(slots=6, time_source=clock.ManualClock())
    >>> estimator.limit
    6
    >>> estimator.record_busy().limit
    4
    """

    def __init__(self, *, slots: int, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._slots = max(1, slots)
        self._times = concurrency_times.Slowdowns(
            slots=self._slots, time_source=time_source
        )
        self._ceiling = busy_ceiling.BusyCeiling(
            slots=self._slots, time_source=time_source
        )
        self._schedule = capacity_trials.TrialSchedule(time_source=time_source)
        self._trial: capacity_trials.Trial | None = None
        self._limit = self._slots
        self._learned = self._slots
        self._is_suspected = False
        self._present = concurrency_times.Mean()
        self._measured_from = time_source.now()
        self._used_at = self._measured_from
        self._unused_at = self._measured_from

    @property
    def limit(self) -> int:
        """Return how many statements may run at the server at once."""
        return self._limit

    def record(
        self, *, kind: concurrency_times.Kind, run: concurrency_meter.Run
    ) -> Change | None:
        """Record a statement that succeeded; return the change, if any."""
        # Above its slots the server queues statements itself, so that their
        # times say nothing of its speed.
        most = self._slots + capacity_trials.SATURATION_MARGIN
        if run.concurrency <= most:
            slowdown = self._times.record(kind=kind, run=run)
            started_at = self._clock.now() - run.seconds
            if slowdown is not None and started_at >= self._measured_from:
                self._add(slowdown, run.concurrency)
        return self._decide()

    def record_busy(self) -> Change | None:
        """Record that the server rejected a statement because it is full."""
        if not self._ceiling.lower(present=self._limit):
            return None
        if self._trial is not None:
            self._learned = self._trial.before
            self._trial = None
        return self._apply(Reason.BUSY)

    def _add(self, slowdown: float, concurrency: float) -> None:
        self._present.add(
            value=slowdown, concurrency=concurrency, now=self._clock.now()
        )
        if self._trial is not None:
            self._trial.add(slowdown=slowdown, concurrency=concurrency)

    def _decide(self) -> Change | None:
        if self._limit < self._learned:
            return self._apply(Reason.RECOVERED)
        if self._trial is not None:
            return self._review_trial(self._trial)
        if self._present.weight < 1:
            return None
        least = self._limit - capacity_trials.SATURATION_MARGIN
        if self._present.concurrency < least:
            self._unused_at = self._clock.now()
            return self._return_unused()
        self._used_at = self._clock.now()
        is_due = self._schedule.is_due and self._is_measured()
        return self._start_trial() if is_due else None

    def _is_measured(self) -> bool:
        """Tell whether the mean of the present limit allows a decision."""
        seconds = self._clock.now() - self._measured_from
        is_slow = seconds >= capacity_trials.MAX_TRIAL_SECONDS
        needed = MIN_SLOW_WEIGHT if is_slow else MIN_WEIGHT
        is_long = seconds >= capacity_trials.MIN_WINDOW_SECONDS
        return is_long and self._present.weight >= needed

    def _start_trial(self) -> Change | None:
        """Start the trial of a limit that may be better, if there is one."""
        lower = _lower_limit(self._limit)
        if self._limit > 1 and self._present.weight >= MIN_WEIGHT:
            was_suspected = self._is_suspected
            self._is_suspected = self._suspects(lower)
            is_confirmed = was_suspected and self._is_suspected
            if is_confirmed or self._is_unknown(lower):
                return self._begin_trial(lower)
            if self._is_suspected:
                # The mean still holds samples from before the server slowed
                # down; the trial needs one without them to compare with.
                self._measure_anew()
                return None
        if self._limit < self._slots:
            return self._begin_trial(min(self._slots, 2 * self._limit))
        return None

    def _is_unknown(self, lower: int) -> bool:
        """Tell whether a lower limit is to be tried for the first time.

        A server that was not saturated for long shows it without a trial.
        """
        used_seconds = self._clock.now() - self._unused_at
        is_long = used_seconds >= UNKNOWN_LIMIT_SECONDS
        return is_long and self._times.at_level(lower) is None

    def _suspects(self, lower: int) -> bool:
        """Tell whether a lower limit may give the same throughput."""
        self._times.bound(
            level=self._limit,
            slowdown=self._present.value + 2 * self._present.error,
        )
        mean = self._times.at_level(lower)
        if mean is None:
            return False
        gain = math.log(self._present.concurrency / lower)
        error = math.hypot(self._present.error, mean.error)
        needed = capacity_trials.LOWERING_SHARE * gain + error
        return self._present.value - mean.value >= needed

    def _begin_trial(self, limit: int) -> Change | None:
        self._is_suspected = False
        self._trial = capacity_trials.Trial(
            limit=limit,
            before=self._learned,
            reference=self._present,
            started_at=self._clock.now(),
        )
        self._learned = limit
        return self._apply(Reason.TRIAL)

    def _review_trial(self, trial: capacity_trials.Trial) -> Change | None:
        if not trial.is_over(self._clock.now()):
            return self._reject(trial) if trial.is_futile else None
        if not trial.is_decided():
            self._schedule.record_undecided()
            return self._end_trial(trial, trial.before, Reason.UNDECIDED)
        if not trial.is_accepted:
            return self._reject(trial)
        self._schedule.record_accepted()
        reason = Reason.MORE_THROUGHPUT
        if trial.is_lower:
            reason = Reason.SAME_THROUGHPUT
        return self._end_trial(trial, trial.limit, reason)

    def _reject(self, trial: capacity_trials.Trial) -> Change | None:
        longest = capacity_trials.MAX_RAISING_PAUSE_SECONDS
        if trial.is_lower:
            longest = capacity_trials.MAX_LOWERING_PAUSE_SECONDS
            self._times.replace(level=trial.limit, slowdown=trial.mean)
        self._schedule.record_rejected(longest_pause=longest)
        return self._end_trial(trial, trial.before, Reason.REJECTED)

    def _end_trial(
        self, trial: capacity_trials.Trial, limit: int, reason: Reason
    ) -> Change:
        self._trial = None
        self._learned = limit
        self._used_at = self._clock.now()
        self._apply(reason)
        is_accepted = limit == trial.limit
        return Change(
            before=trial.before if is_accepted else trial.limit,
            limit=self._limit,
            reason=reason,
            slowdown=trial.slowdown_factor,
            samples=trial.samples,
            seconds=self._clock.now() - trial.started_at,
        )

    def _return_unused(self) -> Change | None:
        """Raise a lowered limit step by step while it is not used."""
        unused_seconds = self._clock.now() - self._used_at
        if self._learned == self._slots or unused_seconds < UNUSED_SECONDS:
            return None
        self._used_at += UNUSED_STEP_SECONDS
        self._learned += 1
        return self._apply(Reason.UNUSED)

    def _apply(self, reason: Reason) -> Change | None:
        """Derive the limit; measure anew if it changes."""
        before = self._limit
        self._limit = min(self._learned, self._ceiling.limit)
        if self._limit == before:
            return None
        self._measure_anew()
        return Change(before=before, limit=self._limit, reason=reason)

    def _measure_anew(self) -> None:
        self._present = concurrency_times.Mean()
        self._measured_from = self._clock.now()


def _lower_limit(limit: int) -> int:
    """Return the limit to try below a limit: half of it, rounded up."""
    return (limit + 1) // 2
