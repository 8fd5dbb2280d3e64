"""Measures how many statements run at a server while one of them runs."""

import contextlib
import dataclasses
import typing

from egretstep import clock


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """The time of one statement and the concurrency at which it ran.

    `at_start` is the number of statements at its start, itself included.
    `seconds` and `concurrency`, the mean until its end, are set at its end.
    """

    at_start: int = 1
    seconds: float = 0
    concurrency: float = 1


class ConcurrencyMeter:
    """Counts what runs at a server, and its integral over time.

    >>> time_source = clock.ManualClock()
    >>> meter = ConcurrencyMeter(time_source=time_source)
    >>> with meter.running() as first:
    ...     time_source.advance(1)
    ...     with meter.running() as second:
    ...         time_source.advance(1)
    >>> first.concurrency, second.concurrency, meter.count
    (1.5, 2.0, 0)
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._count = 0
        self._area = 0.0
        self._updated_at = time_source.now()

    @property
    def count(self) -> int:
        """Return how many blocks run now."""
        return self._count

    @contextlib.contextmanager
    def running(self) -> typing.Generator[Run, None, None]:
        """Count the block, and measure it into the run that is returned."""
        started = self._advance()
        area = self._area
        self._count += 1
        run = Run(at_start=self._count)
        try:
            yield run
        finally:
            self._end(run, started=started, area=area)

    def _end(self, run: Run, *, started: float, area: float) -> None:
        run.seconds = self._advance() - started
        self._count -= 1
        if run.seconds > 0:
            run.concurrency = (self._area - area) / run.seconds

    def _advance(self) -> float:
        """Bring the integral up to the present time, which is returned."""
        now = self._clock.now()
        self._area += self._count * (now - self._updated_at)
        self._updated_at = now
        return now
