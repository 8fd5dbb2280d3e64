"""A first-in, first-out queue of tasks that wait for a resource."""

import asyncio
import collections


class WaitQueue:
    """Wakes waiting tasks one at a time, in the order of their arrival.

    A task that was woken must check whether the resource is free, and wait
    again if another task took it first.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    async def wait(self) -> None:
        """Wait until woken; a cancelled task passes its wake-up on."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if not turn.cancelled():
                self.wake_next()
            raise

    def wake_next(self) -> None:
        """Wake the task that has waited longest, if any waits."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
