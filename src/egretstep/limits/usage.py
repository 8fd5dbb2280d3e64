"""How many operations a second were used lately."""

import math

MEMORY_SECONDS = 2.5
SHORTEST_SECONDS = 0.5


class UsageMeter:
    """A rate whose memory fades within a few seconds.

    A meter that has not run for long tells the rate since its start.

    >>> meter = UsageMeter(now=0)
    >>> for tenth in range(11):
    ...     meter.add(1, now=tenth / 10)
    >>> round(meter.rate(now=1), -1)
    10.0
    """

    def __init__(self, *, now: float) -> None:
        self._amount = 0.0
        self._started_at = now
        self._updated_at = now

    def add(self, amount: float, *, now: float) -> None:
        """Count an amount that was used now."""
        self._fade(now)
        self._amount += amount

    def rate(self, *, now: float) -> float:
        """Return the amount used per second."""
        self._fade(now)
        age = now - self._started_at
        remembered = 1 - math.exp(-age / MEMORY_SECONDS)
        window = max(SHORTEST_SECONDS, MEMORY_SECONDS * remembered)
        return self._amount / window

    def _fade(self, now: float) -> None:
        elapsed = now - self._updated_at
        self._updated_at = now
        self._amount *= math.exp(-elapsed / MEMORY_SECONDS)
