"""Detection of pauses of this process.

To a process that was suspended or got no CPU time, all servers seem to be down.
It must wait for new heartbeats before it treats a server as down.
"""

from egretstep import clock

PAUSE_THRESHOLD_SECONDS = 0.3
RECOVERY_SECONDS = 0.3


class PauseDetector:
    """Detects a pause from the time between two checks of a loop."""

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._checked_at = time_source.now()

    def restart(self) -> None:
        """Restart the measurement after an intended wait."""
        self._checked_at = self._clock.now()

    def was_paused(self) -> bool:
        """Return whether the time since the last check shows a pause."""
        now = self._clock.now()
        paused = now - self._checked_at > PAUSE_THRESHOLD_SECONDS
        self._checked_at = now
        return paused
