"""Waiting for something that others give back, first come first served."""

import asyncio
import collections


class Turns:
    """Those who wait, woken one by one.

    Who was woken looks whether there is anything to take, and waits again
    if another one was faster.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    async def wait(self) -> None:
        """Wait until woken; a turn that is given up goes to the next one."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if not turn.cancelled():
                self.wake_next()
            raise

    def wake_next(self) -> None:
        """Wake the one that has waited longest, if anyone waits."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
