"""Tells rejected callers when to try again.

Load pattern: a burst ends in many rejections at once, and all their callers
would return at the same time and be rejected again. Each gets a place behind
the callers that were told to return earlier, at the rate at which the queue
can take them.
"""

import heapq
import random
import typing

from egretstep import clock
from egretstep.backends import server_load
from egretstep.pooling import slot_requests

# Longest times by priority level. They differ, so that a statement of high
# priority is told an earlier time also when there are too many for all places.
MAX_RETURN_SECONDS = (1.5, 3.0, 4.5, 6.0)
# Callers without a place are spread over this time before the longest one.
OVERFLOW_SECONDS = 1.5
MIN_RATE = 1.0
# Share of a level's slots that returning callers may take; new statements
# keep arriving meanwhile.
RETURN_SHARE = 0.5
# Up to this share is added at random, for callers of several hosts.
SPREAD_SHARE = 0.1


class ReturnTimes:
    """Books the times at which rejected callers are told to return.

    `rng` returns random numbers from 0 to 1.

    >>> times = ReturnTimes(time_source=clock.ManualClock(), rng=lambda: 0.0)
    >>> outlook = [slot_requests.Outlook(wait_seconds=0.5, rate=10)] * 4
    >>> [times.book(0, outlook) for _ in range(3)]
    [0.7, 0.9, 1.1]
    """

    def __init__(
        self,
        *,
        time_source: clock.Clock,
        rng: typing.Callable[[], float] = random.random,
    ) -> None:
        self._clock = time_source
        self._random = rng
        self._due_times: tuple[list[float], ...] = tuple(
            [] for _ in range(server_load.PRIORITY_LEVEL_COUNT)
        )

    def book(
        self,
        level: int,
        outlook: typing.Sequence[slot_requests.Outlook],
        *,
        earliest_seconds: float = 0,
    ) -> float:
        """Book a place for a caller; return the seconds until it is due.

        `outlook` holds the outlook of each priority level. Before
        `earliest_seconds`, by the forecast, the caller would be rejected.
        """
        now = self._clock.now()
        places = [
            self._next_place(each, now, outlook[each])
            for each in range(level + 1)
        ]
        seconds = max(earliest_seconds, *places)
        seconds *= 1 + SPREAD_SHARE * self._random()
        longest_seconds = MAX_RETURN_SECONDS[level]
        if seconds > longest_seconds:
            seconds = self._time_without_place(level, earliest_seconds)
        heapq.heappush(self._due_times[level], now + seconds)
        return seconds

    def _time_without_place(self, level: int, earliest_seconds: float) -> float:
        """Return a random time before the longest one of a level.

        It is not before `earliest_seconds` if the longest time allows.
        """
        longest = MAX_RETURN_SECONDS[level]
        latest_start = (1 - SPREAD_SHARE) * longest
        start = max(earliest_seconds, longest - OVERFLOW_SECONDS)
        start = min(start, latest_start)
        return longest - (longest - start) * self._random()

    def _next_place(
        self, level: int, now: float, outlook: slot_requests.Outlook
    ) -> float:
        """Return the seconds until the first free place of a level."""
        due_times = self._due_times[level]
        while due_times and due_times[0] <= now:
            heapq.heappop(due_times)
        rate = max(RETURN_SHARE * outlook.rate, MIN_RATE)
        seconds = outlook.wait_seconds + (len(due_times) + 1) / rate
        return min(seconds, MAX_RETURN_SECONDS[level])
