"""Metrics and log lines of what a queue rejects and what becomes late."""

import collections
import itertools
import typing

import logbook

from egretstep import clock
from egretstep.observability import metrics
from egretstep.pooling import slot_requests

# Under overload a queue rejects thousands of statements a second; one line in
# this time has their counts and the inputs of the latest decision.
LOG_INTERVAL_SECONDS = 1.0
_logger = logbook.Logger('admission')


class AdmissionLog:
    """Counts the decisions of one queue and logs them once a second."""

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._logged_at = time_source.now() - LOG_INTERVAL_SECONDS
        self._rejected: collections.Counter[str] = collections.Counter()
        self._late: collections.Counter[str] = collections.Counter()
        self._known_late_counts: list[int] = []

    def record_late(self, late_counts: list[int]) -> None:
        """Record how many statements became late so far, by level."""
        if late_counts == self._known_late_counts:
            return
        counts = itertools.zip_longest(
            late_counts, self._known_late_counts, fillvalue=0
        )
        for level, (count, known_count) in enumerate(counts):
            for _ in range(count - known_count):
                metrics.late_statements.inc(str(level))
            self._late[str(level)] += count - known_count
        self._known_late_counts = list(late_counts)

    def record_rejection(
        self,
        rejection: slot_requests.Rejection,
        *,
        retry_after_seconds: float,
        **state: typing.Any,
    ) -> None:
        """Count a rejection, and log it if no line was written lately.

        `state` holds the state of the queue that the line shows.
        """
        request = rejection.request
        reason = rejection.reason.value
        metrics.admission_rejections.inc(reason, str(request.level))
        self._rejected[f'{reason}, level {request.level}'] += 1
        now = self._clock.now()
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        _logger.info(
            'statements rejected',
            extra={
                'rejected': dict(self._rejected),
                'became_late': dict(self._late),
                'workspace': request.workspace,
                'left_s': round(request.deadline - now, 3),
                'forecast_wait_s': round(rejection.wait_seconds, 3),
                'retry_after_s': round(retry_after_seconds, 3),
                **state,
            },
        )
        self._rejected.clear()
        self._late.clear()
