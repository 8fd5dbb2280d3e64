"""Share of the statements that failed at a server in the last seconds.

Load pattern: a server fails a third to a half of its statements, or all of
them, while its own health check is good, or it goes down and up each second.
"""

from egretstep import clock
from egretstep.backends import answers

HALF_LIFE_SECONDS = 1.0
# With fewer statements the share is that of this many, the rest successful.
MIN_SAMPLES = 5.0
FAILURE_CODES = frozenset((
    answers.Code.FAILED,
    answers.Code.TIMED_OUT,
    answers.Code.UNKNOWN_OUTCOME,
))


class ServerHealth:
    """Counts the outcomes of statements with a half-life.

    >>> health = ServerHealth(time_source=clock.ManualClock())
    >>> for has_failed in (True, True, False, False, False):
    ...     health.record(has_failed=has_failed)
    >>> health.failure_share
    0.4
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._total = 0.0
        self._failed = 0.0
        self._updated_at = time_source.now()

    @property
    def failure_share(self) -> float:
        """Return the share of recent statements that failed."""
        self._decay()
        return self._failed / max(self._total, MIN_SAMPLES)

    def record(self, *, has_failed: bool) -> None:
        """Record the outcome of a statement that ran."""
        self._decay()
        self._total += 1
        self._failed += has_failed

    def record_answer(self, code: answers.Code) -> None:
        """Record the answer of the server to a statement.

        A clean refusal tells nothing: the statement did not run.
        """
        if code not in answers.NO_EFFECT_CODES:
            self.record(has_failed=code in FAILURE_CODES)

    def _decay(self) -> None:
        now = self._clock.now()
        kept = 0.5 ** ((now - self._updated_at) / HALF_LIFE_SECONDS)
        self._total *= kept
        self._failed *= kept
        self._updated_at = now
