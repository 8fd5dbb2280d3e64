"""Log lines and counts of clients that meet a limit.

Load pattern: thousands of connections are refused each second. Each limit
gets at most one line in `INTERVAL_SECONDS`, so that these lines do not
displace others.
"""

import typing

import logbook

from egretstep import clock
from egretstep.observability import metrics

INTERVAL_SECONDS = 1.0
_logger = logbook.Logger('clients')


class LimitLog:
    """Counts clients that are refused or closed, by limit."""

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._counts: dict[str, int] = {}
        self._logged_at: dict[str, float] = {}

    def record(self, limit: str, **inputs: typing.Any) -> None:
        """Count one client, and log it if no line is recent.

        The line has the number of clients since the previous line.
        """
        metrics.limited_clients.inc(limit)
        self._counts[limit] = self._counts.get(limit, 0) + 1
        now = self._clock.now()
        last = self._logged_at.get(limit, float('-inf'))
        if now - last < INTERVAL_SECONDS:
            return
        self._logged_at[limit] = now
        count = self._counts.pop(limit)
        fields = {'limit': limit, 'clients': count, **inputs}
        _logger.warning('clients met a limit', extra=fields)
