"""Clocks, which tests can replace, and conversions of time units."""

import time
import typing

MILLISECONDS_PER_SECOND = 1000


class Clock(typing.Protocol):
    """Source of monotonic time in seconds."""

    def now(self) -> float:
        """Return the seconds since an arbitrary but fixed instant."""


class MonotonicClock:
    """Monotonic clock, which may stand still while the machine is suspended."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


class BootClock:
    """Monotonic clock that also advances while the host is suspended.

    Leases need it: a lease must expire while its holder is suspended.
    """

    def now(self) -> float:
        """Return the seconds since the host started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Clock for tests, which advances only by calls of `advance`.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.now()
    1.5
    """

    def __init__(self, *, start: float = 0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current time of this clock in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock by a number of seconds."""
        self._now += seconds


def to_milliseconds(seconds: float) -> int:
    """Convert seconds to rounded milliseconds; negative ones become zero."""
    return max(0, round(seconds * MILLISECONDS_PER_SECOND))


def to_seconds(milliseconds: float) -> float:
    """Convert milliseconds to seconds."""
    return milliseconds / MILLISECONDS_PER_SECOND
