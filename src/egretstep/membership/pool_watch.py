"""Detects a suspended pool program by its missing requests.

The pool requests changes from the agent, and repeats the request after each
answer.
"""

from egretstep import clock
from egretstep.membership import members

POOL_SILENCE_LIMIT_SECONDS = 0.6
POOL_STATES = {
    'pool': members.PoolState.UP,
    'pool-leaving': members.PoolState.LEAVING,
}


class PoolWatch:
    """Tells whether the pool program's next request for changes is overdue.

    It is overdue if the pool has sent none within
    `POOL_SILENCE_LIMIT_SECONDS` of the answer to its latest request.
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._answered_at: float | None = None

    @property
    def is_silent(self) -> bool:
        """Return whether the next request of the pool is overdue."""
        if self._answered_at is None:
            return False
        return (
            self._clock.now() - self._answered_at > POOL_SILENCE_LIMIT_SECONDS
        )

    def record_request(self, program: str) -> None:
        """Record that a program has sent a request for changes."""
        if program in POOL_STATES:
            self._answered_at = None

    def record_answer(self, program: str) -> None:
        """Record that the request of a program was answered."""
        if program in POOL_STATES:
            self._answered_at = self._clock.now()
