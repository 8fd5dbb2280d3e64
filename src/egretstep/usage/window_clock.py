"""Numbers the windows of time for which usage is reported.

Window k begins k times the window's length after the start of 1970.

Load pattern: the time of day of a host jumps by seconds and comes back, or its
process starts during such a jump. Statements of that time must be counted in
the windows in which they were sent.
"""

import time
import typing

import logbook

from egretstep import clock

# A slewed clock drifts by less than this between two checks.
MAX_DRIFT_SECONDS = 0.05
# A step of the time of day that lasts this long is taken for a correction.
STEP_TRUST_SECONDS = 300.0
# Busy hosts answer each other late, so that smaller differences mean nothing.
MAX_FLEET_DIFFERENCE_SECONDS = 0.5
_logger = logbook.Logger('usage')


class WindowClock:
    """The time of day, without its jumps, as the number of a window.

    Between checks the time advances with `time_source`, a monotonic clock.
    `read_time_of_day` returns the seconds since the start of 1970.

    >>> manual = clock.ManualClock()
    >>> windows = WindowClock(
    ...     window_seconds=5,
    ...     time_source=manual,
    ...     read_time_of_day=lambda: 1012.5,
    ... )
    >>> windows.window()
    202
    >>> windows.seconds_since_end(202)
    -2.5
    """

    def __init__(
        self,
        *,
        window_seconds: float,
        time_source: clock.Clock,
        read_time_of_day: typing.Callable[[], float] = time.time,
    ) -> None:
        self.window_seconds = window_seconds
        self._clock = time_source
        self._read_time_of_day = read_time_of_day
        self._offset = read_time_of_day() - time_source.now()
        self._step = 0.0
        self._step_since: float | None = None
        self._corrected_at = float('-inf')

    @property
    def time_of_day(self) -> float | None:
        """Return the time of day of this host, None after a recent jump."""
        return self._read_time_of_day() if self._step_since is None else None

    def now(self) -> float:
        """Return the seconds since the start of 1970."""
        return self._clock.now() + self._offset

    def window(self) -> int:
        """Return the number of the current window."""
        return int(self.now() // self.window_seconds)

    def seconds_since_end(self, window: int) -> float:
        """Return the seconds since a window ended, negative before."""
        return self.now() - (window + 1) * self.window_seconds

    def check(self) -> None:
        """Follow the time of day, but ignore a step until it has lasted."""
        step = self._read_time_of_day() - self.now()
        if abs(step) <= MAX_DRIFT_SECONDS:
            self._offset += step
            self._end_step()
        elif self._is_new_step(step):
            self._begin_step(step)
        elif self._is_step_trusted():
            _logger.warning(
                'the time of day has differed by {:.3f} s for {} s; the '
                'windows follow it now',
                step,
                STEP_TRUST_SECONDS,
            )
            self._offset += step
            self._end_step()

    def correct(self, fleet_time: float) -> None:
        """Correct this clock by the time of the other hosts.

        `fleet_time` is the median of their times of day now. It also corrects
        a host whose time of day was wrong when its process started.
        """
        difference = fleet_time - self.now()
        self._corrected_at = self._clock.now()
        if abs(difference) > MAX_FLEET_DIFFERENCE_SECONDS:
            _logger.warning(
                'the clock of this host differs by {:.3f} s from that of the '
                'other hosts; the windows follow them',
                difference,
            )
            self._offset += difference

    def _is_new_step(self, step: float) -> bool:
        if self._step_since is None:
            return True
        return abs(step - self._step) > MAX_DRIFT_SECONDS

    def _begin_step(self, step: float) -> None:
        if self._step_since is None:
            _logger.warning(
                'the time of day has jumped by {:.3f} s; the windows do not '
                'follow it',
                step,
            )
        self._step = step
        self._step_since = self._clock.now()

    def _end_step(self) -> None:
        self._step_since = None

    def _is_step_trusted(self) -> bool:
        trusted_since = self._clock.now() - STEP_TRUST_SECONDS
        since = self._step_since
        if since is None or since > trusted_since:
            return False
        return self._corrected_at < trusted_since
