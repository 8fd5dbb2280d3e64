"""Bounds the concurrency after a server rejected statements as full.

Load pattern: a server's own queue is full, because other hosts or open
transactions use it, and it rejects what comes. The bound falls at once, by a
factor, and grows back by one statement each second.
"""

from egretstep import clock

FACTOR = 0.7
# Rejections of the same moment lower the bound once.
INTERVAL_SECONDS = 0.2
GROWTH_PER_SECOND = 1.0


class BusyCeiling:
    """An upper bound of the concurrency, at least one.

    >>> time_source = clock.ManualClock()
    >>> ceiling = BusyCeiling(slots=6, time_source=time_source)
    >>> ceiling.lower(present=6)
    True
    >>> ceiling.limit
    4
    >>> time_source.advance(2)
    >>> ceiling.limit
    6
    """

    def __init__(self, *, slots: int, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._slots = float(slots)
        self._lowered_to = self._slots
        self._lowered_at = float('-inf')

    @property
    def limit(self) -> int:
        """Return the present bound."""
        return int(self._grown)

    def lower(self, *, present: int) -> bool:
        """Lower the bound below the present limit, unless it just was."""
        now = self._clock.now()
        if now - self._lowered_at < INTERVAL_SECONDS:
            return False
        self._lowered_to = max(1.0, FACTOR * min(self._grown, present))
        self._lowered_at = now
        return True

    @property
    def _grown(self) -> float:
        seconds = self._clock.now() - self._lowered_at
        return min(self._slots, self._lowered_to + seconds * GROWTH_PER_SECOND)
