"""Holds writes back during a planned change of the primary or the owner.

Load pattern: all writes of a service arrive during the change. They wait for
the next primary, unless another host is going to serve them.
"""

import asyncio
import contextlib
import typing

from egretstep import clock

POLL_INTERVAL_SECONDS = 0.005


class OwnerReplacedError(Exception):
    """The gate stays closed, because another host serves now."""


class WriteGate:
    """Counts running writes, and holds new ones back while it is closed.

    `pinned` returns how many transactions are open. They count as running
    writes until they end, and their statements run while the gate is closed.
    `is_replaced` tells whether another host has replaced this one.
    """

    def __init__(
        self,
        *,
        pinned: typing.Callable[[], int],
        time_source: clock.Clock,
        is_replaced: typing.Callable[[], bool] | None = None,
        is_closed: bool = False,
    ) -> None:
        self._pinned = pinned
        self._clock = time_source
        self._is_replaced = is_replaced
        self._running = 0
        self._closed = is_closed

    @property
    def is_drained(self) -> bool:
        """Tell whether no write is running and no transaction is open."""
        return self._running == 0 and self._pinned() == 0

    @contextlib.asynccontextmanager
    async def entered(
        self,
        *,
        deadline: float,
    ) -> typing.AsyncGenerator[None, None]:
        """Count the block as a running write; waits while the gate is closed.

        `deadline` is a monotonic time. Raises `TimeoutError` when the gate is
        still closed then, and `OwnerReplacedError` when another host has
        replaced this one.
        """
        while self._closed:
            if self._is_replaced is not None and self._is_replaced():
                raise OwnerReplacedError
            if self._clock.now() > deadline:
                raise TimeoutError
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1

    async def close(self, *, longest_wait: float) -> bool:
        """Close the gate and wait until the running writes have ended.

        Returns whether they ended within `longest_wait` seconds. The gate
        stays closed in both cases.
        """
        self._closed = True
        deadline = self._clock.now() + longest_wait
        while not self.is_drained:
            if self._clock.now() > deadline:
                return False
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return True

    def open(self) -> None:
        """Let waiting and new writes pass."""
        self._closed = False
