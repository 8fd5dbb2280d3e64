"""How many operations a second were used lately."""

MEMORY_SECONDS = 2.5


class UsageMeter:
    """A rate whose memory fades within a few seconds.

    >>> meter = UsageMeter(now=0)
    >>> for second in range(20):
    ...     meter.add(10, now=second)
    >>> 8 < meter.rate(now=19.5) < 12
    True
    """

    def __init__(self, *, now: float) -> None:
        self._amount = 0.0
        self._updated_at = now

    def add(self, amount: float, *, now: float) -> None:
        """Count an amount that was used now."""
        self._fade(now)
        self._amount += amount

    def rate(self, *, now: float) -> float:
        """Return the amount used per second."""
        self._fade(now)
        return self._amount / MEMORY_SECONDS

    def _fade(self, now: float) -> None:
        elapsed = now - self._updated_at
        self._updated_at = now
        self._amount *= 2 ** (-elapsed / MEMORY_SECONDS / _HALVINGS)


# With this half-life a steady rate is reported as it is.
_HALVINGS = 0.6931471805599453
