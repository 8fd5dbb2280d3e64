"""Counts the slots of one server that are in use.

Load pattern: half of the load or more belongs to open transactions, whose
statements run without waiting. They take slots from the waiting statements,
but never all of them.
"""

import math

from egretstep import clock

# The waiting statements keep this many slots beside open transactions.
MIN_QUEUED_SLOTS = 1
AVERAGE_SECONDS = 0.5


class SlotCount:
    """Slots in use by statements that waited, and by open transactions.

    >>> slots = SlotCount(total=2, time_source=clock.ManualClock())
    >>> slots.add_unqueued(3)
    >>> slots.free, slots.is_available
    (-1, True)
    """

    def __init__(self, *, total: int, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._queued = 0
        self._unqueued = 0
        self._mean_unqueued = 0.0
        self._averaged_at = time_source.now()
        self.total = total

    @property
    def running(self) -> int:
        """Return how many statements run."""
        return self._queued + self._unqueued

    @property
    def free(self) -> int:
        """Return the free slots; negative if more statements run."""
        return self.total - self.running

    @property
    def is_available(self) -> bool:
        """Tell whether a waiting statement can get a slot."""
        return self.free > 0 or self._queued < MIN_QUEUED_SLOTS

    @property
    def for_queue(self) -> float:
        """Return how many slots the waiting statements get on average."""
        self._average()
        return max(MIN_QUEUED_SLOTS, self.total - self._mean_unqueued)

    def add_queued(self, count: int) -> None:
        """Add or, if negative, remove statements that took a slot."""
        self._queued += count

    def add_unqueued(self, count: int) -> None:
        """Add or, if negative, remove statements of open transactions."""
        self._average()
        self._unqueued += count

    def _average(self) -> None:
        now = self._clock.now()
        kept_share = math.exp((self._averaged_at - now) / AVERAGE_SECONDS)
        self._mean_unqueued += (1 - kept_share) * (
            self._unqueued - self._mean_unqueued
        )
        self._averaged_at = now
