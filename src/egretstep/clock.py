"""Monotonic time, replaceable in tests."""

import time
import typing

MILLISECONDS_PER_SECOND = 1000


class Clock(typing.Protocol):
    """Source of monotonic time in seconds."""

    def now(self) -> float:
        """Return seconds since an arbitrary, fixed instant."""


class MonotonicClock:
    """The clock of this machine, which never goes back."""

    def now(self) -> float:
        """Return the machine's monotonic time in seconds."""
        return time.monotonic()


class BootClock:
    """Seconds since the host started, which also count while it is paused.

    A lease must run out while its holder does not run.
    """

    def now(self) -> float:
        """Return the seconds since the host started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that moves only when told to, for tests.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.now()
    1.5
    """

    def __init__(self, *, start: float = 0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the time that was last set, in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by a number of seconds."""
        self._now += seconds


def to_milliseconds(seconds: float) -> int:
    """Convert seconds to whole milliseconds, never below zero."""
    return max(0, round(seconds * MILLISECONDS_PER_SECOND))


def to_seconds(milliseconds: float) -> float:
    """Convert milliseconds to seconds."""
    return milliseconds / MILLISECONDS_PER_SECOND
