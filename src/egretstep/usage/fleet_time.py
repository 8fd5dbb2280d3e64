"""The time of the fleet: the median of the times of day of its hosts.

Load pattern: a host starts, or holds the usage task, while its time of day is
wrong by seconds, and calls between busy hosts are delayed. The other hosts
outvote it, and of a host's latest calls the one with the least delay counts.
"""

import collections
import statistics

from egretstep import clock, identifiers

# An older sample may be of a clock that has changed since.
MAX_AGE_SECONDS = 15.0
MAX_SAMPLES_PER_HOST = 3
# Two clocks that differ do not tell which one is right.
MIN_CLOCKS = 3
# Hundreds of hosts call each second; the median is not computed for each call.
UPDATE_INTERVAL_SECONDS = 1.0
_Samples = collections.deque[tuple[float, float]]


class FleetTime:
    """Compares the times of day of the hosts that call this one.

    All are kept relative to the monotonic clock of this host, so that a jump
    of its own time of day changes nothing.

    >>> times = FleetTime(time_source=clock.ManualClock(start=100))
    >>> for name in ('a', 'b', 'c'):
    ...     times.record(identifiers.HostName(name), time_of_day=2000.0)
    >>> times.now()
    2000.0
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._samples: dict[identifiers.HostName, _Samples] = {}
        self._offset: float | None = None
        self._updated_at = float('-inf')

    def record(
        self, host: identifiers.HostName, *, time_of_day: float | None
    ) -> None:
        """Record the time of day that a host has just stated, if it has."""
        if time_of_day is None:
            self._samples.pop(host, None)
            return
        now = self._clock.now()
        samples = self._samples.setdefault(
            host, collections.deque(maxlen=MAX_SAMPLES_PER_HOST)
        )
        samples.append((now, time_of_day - now))

    def now(self) -> float | None:
        """Return the seconds since the start of 1970.

        None if too few hosts have called lately.
        """
        now = self._clock.now()
        if self._offset is None or self._is_update_due(now):
            self._offset = self._median_offset(now - MAX_AGE_SECONDS)
            self._updated_at = now
        return None if self._offset is None else now + self._offset

    def _is_update_due(self, now: float) -> bool:
        return now - self._updated_at >= UPDATE_INTERVAL_SECONDS

    def _median_offset(self, oldest: float) -> float | None:
        for host, samples in list(self._samples.items()):
            while samples and samples[0][0] < oldest:
                samples.popleft()
            if not samples:
                del self._samples[host]
        if len(self._samples) < MIN_CLOCKS:
            return None
        # A delay makes a clock look slow, so the greatest offset is the best.
        return statistics.median(
            max(offset for _, offset in samples)
            for samples in self._samples.values()
        )
