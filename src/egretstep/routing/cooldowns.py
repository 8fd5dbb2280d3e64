"""Servers that get no reads for a short time after a failed attempt."""

from egretstep import clock
from egretstep.backends import connection

COOLDOWN_SECONDS = 1.0


class Cooldowns:
    """Remembers servers for `COOLDOWN_SECONDS`.

    >>> time_source = clock.ManualClock()
    >>> cooldowns = Cooldowns(time_source=time_source)
    >>> cooldowns.start(connection.ServerId('s1'))
    >>> cooldowns.is_active(connection.ServerId('s1'))
    True
    >>> time_source.advance(COOLDOWN_SECONDS)
    >>> cooldowns.is_active(connection.ServerId('s1'))
    False
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        # All last as long, so that the first one ends first.
        self._ends_at: dict[connection.ServerId, float] = {}

    def __len__(self) -> int:
        """Return how many servers are remembered."""
        return len(self._ends_at)

    def is_active(self, server: connection.ServerId) -> bool:
        """Tell whether a server is to be avoided."""
        return self._ends_at.get(server, 0) > self._clock.now()

    def start(self, server: connection.ServerId) -> None:
        """Avoid a server from now on; forget those whose time has ended."""
        now = self._clock.now()
        self._ends_at.pop(server, None)
        self._ends_at[server] = now + COOLDOWN_SECONDS
        while next(iter(self._ends_at.values())) <= now:
            self._ends_at.pop(next(iter(self._ends_at)))
