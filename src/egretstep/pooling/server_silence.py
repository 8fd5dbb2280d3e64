"""Notices that a server which should have answered is silent.

Load pattern: a server stops answering for some seconds while statements run
and wait. The rate of grants from before says nothing about the wait then.
"""

from egretstep import clock

# Silence is a pause of this many mean service times, and of at least
# `MIN_SILENCE_SECONDS`, in which no running statement ended.
SILENCE_FACTOR = 10
MIN_SILENCE_SECONDS = 0.25


class ServerSilence:
    """Measures how long no running statement has ended.

    >>> time_source = clock.ManualClock()
    >>> silence = ServerSilence(time_source=time_source)
    >>> silence.record_start()
    >>> time_source.advance(0.5)
    >>> silence.seconds(mean_service_seconds=0.02)
    0.5
    >>> silence.record_end()
    >>> silence.seconds(mean_service_seconds=0.02)
    0.0
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._running = 0
        self._silent_since = time_source.now()

    def record_start(self) -> None:
        """Record that a statement begins to run."""
        if not self._running:
            self._silent_since = self._clock.now()
        self._running += 1

    def record_end(self) -> None:
        """Record that a statement has ended."""
        self._running -= 1
        self._silent_since = self._clock.now()

    def seconds(self, *, mean_service_seconds: float) -> float:
        """Return the time of the present silence; zero if there is none."""
        if not self._running:
            return 0.0
        elapsed = self._clock.now() - self._silent_since
        limit = max(MIN_SILENCE_SECONDS, SILENCE_FACTOR * mean_service_seconds)
        return elapsed if elapsed > limit else 0.0
