"""Notices that this process itself stood still.

All servers look silent to a process that was stopped or got no processor
time; it must hear from them before it judges them.
"""

from egretstep import clock

PAUSE_SECONDS = 0.3
REFRESH_SECONDS = 0.3


class PauseWatch:
    """Compares the times between checks that should be close together."""

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._checked_at = time_source.now()

    def restart(self) -> None:
        """Count from now, after a wait that was meant."""
        self._checked_at = self._clock.now()

    def was_paused(self) -> bool:
        """Tell whether too much time went by since the last check."""
        now = self._clock.now()
        paused = now - self._checked_at > PAUSE_SECONDS
        self._checked_at = now
        return paused
