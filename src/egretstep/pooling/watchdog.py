"""Aborts the statements that run on servers that are down."""

import asyncio
import typing

from egretstep import clock, identifiers
from egretstep.replication import pauses

CHECK_INTERVAL_SECONDS = 0.05


class WatchedServer(typing.Protocol):
    """The part of a server's monitor that the watchdog uses."""

    @property
    def name(self) -> identifiers.ServerName:
        """Return the server's name."""

    @property
    def is_up(self) -> bool:
        """Tell whether the server has answered recently."""


class Watchdog:
    """Calls `abort` periodically for each server that is down.

    After a pause of this process all servers seem down, because their latest
    answers are old. The watchdog then waits for new answers before it aborts
    anything.
    """

    def __init__(
        self,
        *,
        servers: typing.Sequence[WatchedServer],
        abort: typing.Callable[[identifiers.ServerName], None],
        time_source: clock.Clock,
    ) -> None:
        self._servers = servers
        self._abort = abort
        self._clock = time_source

    async def run(self) -> None:
        """Check the servers until cancelled."""
        watch = pauses.PauseDetector(time_source=self._clock)
        while True:
            if watch.was_paused():
                await asyncio.sleep(pauses.RECOVERY_SECONDS)
                watch.restart()
            for server in self._servers:
                if not server.is_up:
                    self._abort(server.name)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
