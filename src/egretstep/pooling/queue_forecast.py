"""Forecasts when a statement that waits for a server will get a slot.

Load pattern: a server gets more statements than it can run, open transactions
take a part of its slots, and many of the waiting workspaces are new to it, so
that the cost of their statements is not known. The forecast therefore uses
the rate at which slots were granted recently, not estimated costs.
"""

import collections

from egretstep import clock

WINDOW_SECONDS = 2.0
# A queue that formed more recently than this has too few grants for a rate.
MIN_WINDOW_SECONDS = 0.25
# A longer gap between two grants means that the server was unavailable, not
# slow; grants from before it say nothing about the rate after it.
MAX_GAP_SECONDS = 0.5


class QueueForecast:
    """Measures the rate of slot grants of one queue while statements wait.

    >>> time_source = clock.ManualClock()
    >>> forecast = QueueForecast(time_source=time_source)
    >>> forecast.record_waiting(waiting=1)
    >>> for _ in range(10):
    ...     time_source.advance(0.1)
    ...     forecast.record_slot_granted()
    >>> round(forecast.seconds_until(position=5), 1)
    0.5
    """

    def __init__(
        self,
        *,
        time_source: clock.Clock,
        max_gap_seconds: float = MAX_GAP_SECONDS,
    ) -> None:
        self._clock = time_source
        self._max_gap_seconds = max_gap_seconds
        self._granted_at: collections.deque[float] = collections.deque()
        self._waiting_since: float | None = None

    def record_waiting(self, *, waiting: int) -> None:
        """Record how many statements wait now; zero resets the rate."""
        if not waiting:
            self._waiting_since = None
            self._granted_at.clear()
        elif self._waiting_since is None:
            self._waiting_since = self._clock.now()

    def record_slot_granted(self) -> None:
        """Record that a waiting statement got a slot."""
        now = self._clock.now()
        if (
            self._granted_at
            and now - self._granted_at[-1] > self._max_gap_seconds
        ):
            self.restart()
        self._granted_at.append(now)
        while self._granted_at[0] < now - WINDOW_SECONDS:
            self._granted_at.popleft()

    def restart(self) -> None:
        """Forget the rate; if statements wait, measure it from now on."""
        self._granted_at.clear()
        if self._waiting_since is not None:
            self._waiting_since = self._clock.now()

    def seconds_until(self, *, position: int) -> float:
        """Return the forecast wait in seconds for a position in the queue.

        Positions count from one. Zero means that the rate is not known yet.
        """
        if self._waiting_since is None:
            return 0
        window = min(self._clock.now() - self._waiting_since, WINDOW_SECONDS)
        if window < MIN_WINDOW_SECONDS or not self._granted_at:
            return 0
        return position * window / len(self._granted_at)
