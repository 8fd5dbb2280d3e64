import asyncio
import time
import unittest

from egretstep import clock, identifiers
from egretstep.pooling import watchdog

DOWN_SECONDS = 0.5
PAUSE_SECONDS = 0.8
SERVER = identifiers.ServerName('p')


def _block_event_loop() -> None:
    """Block the event loop, as on a host that gets no processor time."""
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
        server_watchdog = watchdog.Watchdog(
            servers=[self.server],
            abort=self.aborted.append,
            time_source=clock.MonotonicClock(),
        )
        self.answering = asyncio.create_task(self.server.answer())
        self.watchdog_task = asyncio.create_task(server_watchdog.run())
        await asyncio.sleep(0.12)

    async def asyncTearDown(self) -> None:
        self.answering.cancel()
        self.watchdog_task.cancel()

    async def test_nothing_is_aborted_after_a_pause_of_this_process(
        self,
    ) -> None:
        _block_event_loop()
        await asyncio.sleep(0.5)
        self.assertEqual(self.aborted, [])

    async def test_statements_of_a_silent_server_are_aborted(self) -> None:
        self.answering.cancel()
        await asyncio.sleep(DOWN_SECONDS + 0.2)
        self.assertIn(SERVER, self.aborted)
