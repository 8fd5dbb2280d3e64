import asyncio
import time
import unittest

from egretstep import clock, identifiers
from egretstep.pooling import watchdog

DOWN_SECONDS = 0.5
PAUSE_SECONDS = 0.8
SERVER = identifiers.ServerName('p')


def _stand_still() -> None:
    """Block the loop, as a host without processor time does."""
    time.sleep(PAUSE_SECONDS)


class Server:
    name = SERVER

    def __init__(self) -> None:
        self.answered_at = time.monotonic()

    @property
    def is_up(self) -> bool:
        return time.monotonic() - self.answered_at < DOWN_SECONDS

    async def answer(self) -> None:
        while True:
            self.answered_at = time.monotonic()
            await asyncio.sleep(0.1)


class WatchdogTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = Server()
        self.aborted: list[str] = []
        watching = watchdog.Watchdog(
            servers=[self.server],
            abort=self.aborted.append,
            time_source=clock.MonotonicClock(),
        )
        self.answering = asyncio.create_task(self.server.answer())
        self.watching = asyncio.create_task(watching.run())
        await asyncio.sleep(0.12)

    async def asyncTearDown(self) -> None:
        self.answering.cancel()
        self.watching.cancel()

    async def test_nothing_is_given_up_after_an_own_pause(self) -> None:
        _stand_still()
        await asyncio.sleep(0.5)
        self.assertEqual(self.aborted, [])

    async def test_a_silent_server_is_given_up(self) -> None:
        self.answering.cancel()
        await asyncio.sleep(DOWN_SECONDS + 0.2)
        self.assertIn(SERVER, self.aborted)
