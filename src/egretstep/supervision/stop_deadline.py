"""The time by which a host that stops must have given all answers."""

from egretstep import clock

_NEVER = float('inf')


class StopDeadline:
    """Tells which statements a stopping host still takes on.

    >>> deadline = StopDeadline(time_source=clock.ManualClock(start=10))
    >>> deadline.allows(60)
    True
    >>> deadline.begin(takes_all_until=10, answers_until=15)
    >>> deadline.allows(4), deadline.allows(6)
    (True, False)
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._takes_all_until = _NEVER
        self._answers_until = _NEVER

    @property
    def is_stopping(self) -> bool:
        """Return whether the host is stopping."""
        return self._answers_until != _NEVER

    @property
    def is_over(self) -> bool:
        """Return whether all answers must have been given."""
        return self._clock.now() >= self._answers_until

    def begin(self, *, takes_all_until: float, answers_until: float) -> None:
        """Begin to stop; the times are monotonic, in seconds.

        Until the first one, statements are taken on however long they may
        run, since callers can't know yet that the host is stopping.
        """
        self._takes_all_until = takes_all_until
        self._answers_until = answers_until

    def allows(self, seconds: float) -> bool:
        """Return whether a statement that may run so long is taken on."""
        now = self._clock.now()
        return now < self._takes_all_until or now + seconds <= (
            self._answers_until
        )
