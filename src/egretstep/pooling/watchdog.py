"""Gives up at once on what runs on servers that are down."""

import asyncio
import typing

from egretstep import clock, identifiers
from egretstep.replication import pauses

WATCHDOG_SECONDS = 0.05


class WatchedServer(typing.Protocol):
    """What the watchdog asks of a server's monitor."""

    @property
    def name(self) -> identifiers.ServerName:
        """Return the server's name."""

    @property
    def is_up(self) -> bool:
        """Tell whether the server has answered lately."""


class Watchdog:
    """Calls `abort` for each server that is down, again and again.

    After a pause of this process all servers look down; they are asked
    before anything is given up.
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
        """Watch until cancelled."""
        watch = pauses.PauseDetector(time_source=self._clock)
        while True:
            if watch.was_paused():
                await asyncio.sleep(pauses.RECOVERY_SECONDS)
                watch.restart()
            for server in self._servers:
                if not server.is_up:
                    self._abort(server.name)
            await asyncio.sleep(WATCHDOG_SECONDS)
