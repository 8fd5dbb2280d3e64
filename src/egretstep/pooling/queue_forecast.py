"""Predicts when those who wait for a server will have their turn.

Load pattern: a server gets more than it can run, a part of its slots is taken
by open transactions, and many of those who wait are new to it. What counts is
how fast turns were given lately, not what each statement is thought to cost.
"""

import collections

from egretstep import clock

WINDOW_SECONDS = 2.0
# Before that the pace of a queue that has just formed says little.
SHORTEST_WINDOW_SECONDS = 0.25
# A server that was silent for longer is not slow; it was away.
LONGEST_GAP_SECONDS = 0.5


class QueueForecast:
    """The pace of the turns of one queue while somebody waits.

    >>> time_source = clock.ManualClock()
    >>> forecast = QueueForecast(time_source=time_source)
    >>> forecast.note_waiting(waiting=1)
    >>> for _ in range(10):
    ...     time_source.advance(0.1)
    ...     forecast.note_turn()
    >>> round(forecast.seconds_until(position=5), 1)
    0.5
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._turns: collections.deque[float] = collections.deque()
        self._waiting_since: float | None = None

    def note_waiting(self, *, waiting: int) -> None:
        """Learn how many wait now."""
        if not waiting:
            self._waiting_since = None
            self._turns.clear()
        elif self._waiting_since is None:
            self._waiting_since = self._clock.now()

    def note_turn(self) -> None:
        """Learn that one of those who waited has its turn."""
        now = self._clock.now()
        if self._turns and now - self._turns[-1] > LONGEST_GAP_SECONDS:
            self._turns.clear()
            self._waiting_since = now
        self._turns.append(now)
        while self._turns[0] < now - WINDOW_SECONDS:
            self._turns.popleft()

    def seconds_until(self, *, position: int) -> float:
        """Return when the turn of a position in the queue is due.

        Zero means that the pace is not known.
        """
        if self._waiting_since is None:
            return 0
        window = min(self._clock.now() - self._waiting_since, WINDOW_SECONDS)
        if window < SHORTEST_WINDOW_SECONDS or not self._turns:
            return 0
        return position * window / len(self._turns)
