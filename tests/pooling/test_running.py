"""Guards against an aborted statement that keeps others from being aborted.

Load pattern: a server stops answering while many statements run on it, and
one of them takes long to clean up.
"""

import asyncio
import time

from egretstep import clock, identifiers
from egretstep.pooling import running
from tests import virtual_time

SERVER = identifiers.ServerName('p')
CLEANUP_SECONDS = 0.2
LONG_SECONDS = 5.0


class RunningStatementsTest(virtual_time.VirtualTimeTestCase):
    def setUp(self) -> None:
        self.clock = clock.MonotonicClock()
        self.statements = running.RunningStatements(time_source=self.clock)

    async def test_abort_ends_others_while_one_cleans_up(
        self,
    ) -> None:
        cleaning_up = asyncio.ensure_future(self._run_and_clean_up())
        await asyncio.sleep(0.01)
        self.statements.abort(SERVER)
        await asyncio.sleep(0.05)
        other = asyncio.ensure_future(self._run())
        await asyncio.sleep(0.01)
        started = time.monotonic()
        self.statements.abort(SERVER)
        with self.assertRaises(TimeoutError):
            await other
        self.assertLess(time.monotonic() - started, CLEANUP_SECONDS)
        with self.assertRaises(TimeoutError):
            await cleaning_up

    async def _run(self) -> None:
        deadline = self.clock.now() + LONG_SECONDS
        async with self.statements.bounded(SERVER, deadline):
            await asyncio.sleep(LONG_SECONDS)

    async def _run_and_clean_up(self) -> None:
        deadline = self.clock.now() + LONG_SECONDS
        async with self.statements.bounded(SERVER, deadline):
            try:
                await asyncio.sleep(LONG_SECONDS)
            finally:
                await asyncio.sleep(CLEANUP_SECONDS)
