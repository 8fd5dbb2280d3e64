"""Tells from its questions whether the pool of this host still runs."""

from egretstep import clock
from egretstep.membership import members

POOL_SILENT_SECONDS = 0.6
POOL_STATES = {
    'pool': members.PoolState.UP,
    'pool-leaving': members.PoolState.LEAVING,
}


class PoolWatch:
    """Notices a pool that is frozen: it has stopped asking for news."""

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._answered_at: float | None = None

    @property
    def is_silent(self) -> bool:
        """Tell whether the pool should have asked again by now."""
        if self._answered_at is None:
            return False
        return self._clock.now() - self._answered_at > POOL_SILENT_SECONDS

    def begin(self, program: str) -> None:
        """Note that a program has asked for news."""
        if program in POOL_STATES:
            self._answered_at = None

    def end(self, program: str) -> None:
        """Note that a program was answered."""
        if program in POOL_STATES:
            self._answered_at = self._clock.now()
