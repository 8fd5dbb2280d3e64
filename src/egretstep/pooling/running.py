"""Time limits for statements that wait for or run on a server."""

import asyncio
import contextlib
import typing

from egretstep import clock, identifiers

DEADLINE_MARGIN_SECONDS = 0.05


class RunningStatements:
    """Ends statements at their deadline, or when their server is down."""

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._limits: dict[identifiers.ServerName, set[asyncio.Timeout]] = {}

    @contextlib.asynccontextmanager
    async def bounded(
        self,
        server: identifiers.ServerName,
        deadline: float,
    ) -> typing.AsyncGenerator[None, None]:
        """Limit the block to a monotonic deadline or the next `abort`.

        Raises `TimeoutError` in both cases; `was_aborted` tells them apart.
        """
        limit = asyncio.timeout(deadline - self._clock.now())
        limits = self._limits.setdefault(server, set())
        limits.add(limit)
        try:
            async with limit:
                yield
        finally:
            limits.discard(limit)

    def abort(self, server: identifiers.ServerName) -> None:
        """End all blocks of a server now.

        Blocks whose time limit has expired are left to clean up.
        """
        now = asyncio.get_running_loop().time()
        for limit in list(self._limits.get(server, ())):
            if not limit.expired():
                limit.reschedule(now)

    def was_aborted(self, deadline: float) -> bool:
        """Tell whether a block that has just timed out was aborted."""
        return self._clock.now() < deadline - DEADLINE_MARGIN_SECONDS
