"""Exponentially decaying average of the rate of operations."""

import math

DECAY_SECONDS = 2.5
MIN_WINDOW_SECONDS = 0.5


class UsageMeter:
    """Rate of operations, averaged with an exponential decay.

    A meter that started less than `DECAY_SECONDS` ago averages over the time
    since its start, but never over less than `MIN_WINDOW_SECONDS`. Times are
    in seconds of one clock.

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
        """Count `amount` operations at the time `now`."""
        self._decay(now)
        self._amount += amount

    def rate(self, *, now: float) -> float:
        """Return the average number of operations per second."""
        self._decay(now)
        age = now - self._started_at
        weight = 1 - math.exp(-age / DECAY_SECONDS)
        window = max(MIN_WINDOW_SECONDS, DECAY_SECONDS * weight)
        return self._amount / window

    def _decay(self, now: float) -> None:
        elapsed = now - self._updated_at
        self._updated_at = now
        self._amount *= math.exp(-elapsed / DECAY_SECONDS)
