"""Backoff between reads of a change feed.

When hosts start or restart one after another, every other host reads the
feed again after each change. The backoff delivers the first change of such a
series quickly and batches the changes that follow.
"""

from egretstep import clock

MAX_PAUSE_FACTOR = 4
# A series of changes ends when none comes within this many pauses.
SERIES_END_PAUSES = 2


class PollBackoff:
    """Pause after each change, doubled while changes follow each other.

    >>> backoff = PollBackoff(time_source=clock.ManualClock())
    >>> backoff.next_pause(0.5), backoff.next_pause(0.5)
    (0.5, 1.0)
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._changed_at = float('-inf')
        self._pause = 0.0
        self._factor = 1

    def next_pause(self, base: float) -> float:
        """Return the seconds to wait after a change that was just received.

        `base` is the pause after a single change, in seconds.
        """
        now = self._clock.now()
        quiet = now - self._changed_at
        if quiet > SERIES_END_PAUSES * self._pause:
            self._factor = 1
        else:
            self._factor = min(MAX_PAUSE_FACTOR, 2 * self._factor)
        self._changed_at = now
        self._pause = base * self._factor
        return self._pause
