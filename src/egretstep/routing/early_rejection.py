"""Decides which statements are rejected before they are sent to a full server.

Load pattern: a burst fills the queue of a primary, and each further statement
would travel to its host only to be rejected there. Only fresh load data
counts. Some statements still go, so that the data stays fresh and the end of
the burst is seen.
"""

import dataclasses
import random
import typing

import logbook

from egretstep import clock
from egretstep.backends import connection, server_load
from egretstep.observability import metrics
from egretstep.routing import server_loads

MAX_AGE_SECONDS = 0.25
PASS_INTERVAL_SECONDS = 0.05
LOG_INTERVAL_SECONDS = 1.0
# Rejected statements return one by one, as often as one is sent in any case.
# By the wait alone, all would return within 20 to 40 ms, in the same peak.
RETURN_INTERVAL_SECONDS = PASS_INTERVAL_SECONDS
RETURN_JITTER = 0.5
MAX_RETRY_AFTER_SECONDS = 5.0
MAX_LEVELS = 20_000
_Level = tuple[connection.ServerId, int]
_logger = logbook.Logger('placement')


@dataclasses.dataclass(kw_only=True, slots=True)
class _LevelState:
    """What was decided lately; times are monotonic seconds."""

    passed_at: float
    last_return_at: float = 0
    logged_at: float | None = None
    rejected_count: int = 0


class EarlyRejection:
    """Rejects statements whose only server has too long a queue.

    One statement each `PASS_INTERVAL_SECONDS` passes for each server and
    priority level. Of more than `MAX_LEVELS` levels, the oldest is forgotten.
    """

    def __init__(
        self,
        *,
        loads: server_loads.ServerLoads,
        time_source: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._loads = loads
        self._clock = time_source
        self._random = rng
        self._levels: dict[_Level, _LevelState] = {}

    def retry_after(
        self,
        server: connection.ServerId,
        *,
        priority: int,
        remaining: float,
    ) -> float | None:
        """Return after how many seconds a rejected statement may return.

        None if it is to be sent. `remaining` is the rest of its time limit in
        seconds.
        """
        report = self._loads.report(server)
        if report is None or report.age > MAX_AGE_SECONDS:
            return None
        wait = report.load.wait(priority=priority)
        if wait <= remaining:
            return None
        level = (server, server_load.level_of(priority))
        if self._may_pass(level):
            return None
        self._record_rejected(level, report, wait, remaining)
        excess = wait - remaining + report.load.service_seconds
        return self._next_return(self._levels[level], excess)

    def _next_return(self, state: _LevelState, earliest: float) -> float:
        """Return the time in seconds until the next place to return.

        It is `earliest` seconds or more, behind those that were told to return
        before.
        """
        now = self._clock.now()
        jitter = self._random.uniform(-RETURN_JITTER, RETURN_JITTER)
        interval = RETURN_INTERVAL_SECONDS * (1 + jitter)
        latest = max(now + earliest, now + MAX_RETRY_AFTER_SECONDS)
        return_at = max(now + earliest, state.last_return_at + interval)
        state.last_return_at = min(return_at, latest)
        return state.last_return_at - now

    def _may_pass(self, level: _Level) -> bool:
        now = self._clock.now()
        state = self._levels.get(level)
        if state is None:
            self._levels[level] = _LevelState(passed_at=now)
            if len(self._levels) > MAX_LEVELS:
                self._levels.pop(next(iter(self._levels)))
            return True
        if now - state.passed_at < PASS_INTERVAL_SECONDS:
            return False
        state.passed_at = now
        return True

    def _record_rejected(
        self,
        level: _Level,
        report: server_loads.LoadReport,
        wait: float,
        remaining: float,
    ) -> None:
        """Count a rejection; log at most one line a second for each level."""
        metrics.early_rejections.inc(str(level[1]))
        state = self._levels[level]
        state.rejected_count += 1
        now = self._clock.now()
        logged_at = state.logged_at
        if logged_at is not None and now - logged_at < LOG_INTERVAL_SECONDS:
            return
        fields: dict[str, typing.Any] = {
            'server': level[0],
            'level': level[1],
            'wait_s': round(wait, 3),
            'left_s': round(remaining, 3),
            'age_s': round(report.age, 3),
            'rejected': state.rejected_count,
        }
        _logger.info('statements are rejected early', extra=fields)
        state.logged_at = now
        state.rejected_count = 0
