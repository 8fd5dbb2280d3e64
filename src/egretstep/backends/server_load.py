"""Load of a backend server, as the host that runs its statements knows it."""

import dataclasses

# Statements of this and all lower priorities share the last level.
PRIORITY_LEVEL_COUNT = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerLoad:
    """The load of one server at the time of an answer.

    `capacity` is how many statements the server takes well at once, `running`
    how many run there, those of open transactions included, and `waiting` how
    many wait for a slot. `service_seconds` is the recent mean time in a slot
    and `failure_share` the recent share of failed statements. `waits` holds
    the expected wait of a new statement, in seconds, for each priority level.

    >>> load = ServerLoad(
    ...     server='s1',
    ...     capacity=2,
    ...     running=2,
    ...     waiting=1,
    ...     service_seconds=0.02,
    ...     waits=(0.01, 0.02),
    ... )
    >>> load.wait(priority=0), load.wait(priority=7)
    (0.01, 0.02)
    """

    server: str
    capacity: float
    running: int
    waiting: int
    service_seconds: float
    failure_share: float = 0
    waits: tuple[float, ...] = (0.0,)

    def wait(self, *, priority: int) -> float:
        """Return the expected wait in seconds of a statement of a priority."""
        return self.waits[min(level_of(priority), len(self.waits) - 1)]


def level_of(priority: int) -> int:
    """Return the priority level of a route's priority; 0 is the highest."""
    return min(priority, PRIORITY_LEVEL_COUNT - 1)
