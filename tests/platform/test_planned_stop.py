"""Processes of hosts that get SIGTERM while their callers go on."""

import asyncio
import contextlib
import signal
import time
import unittest

from standins import platform_caller, platform_fleet

GRACE_SECONDS = 6.0
SLOW_READ_SECONDS = 0.7
KEEP_INTERVAL_SECONDS = 0.4


async def _keep_transaction(caller: platform_caller.Caller) -> None:
    """Use a transaction until the host ends it."""
    with contextlib.suppress(OSError, platform_caller.AnswerError):
        await caller.run('BEGIN')
        while True:
            await caller.run('READ frame')
            await asyncio.sleep(KEEP_INTERVAL_SECONDS)


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    """Each request that a stopping host has read gets an answer."""

    async def test_a_read_late_in_the_grace_time_is_answered(self) -> None:
        """Its connection was closed without an answer (review/10)."""
        async with platform_fleet.PlatformFleet(first_port=24400) as fleet:
            stopped = next(index for index in (1, 2) if index != fleet.owner())
            keeping = asyncio.ensure_future(
                _keep_transaction(
                    await platform_caller.Caller.connect(fleet.port(stopped))
                )
            )
            await asyncio.sleep(0.5)
            started = time.monotonic()
            stopping = asyncio.ensure_future(fleet.stop_host(stopped))
            await asyncio.sleep(1.8)
            callers = [
                await platform_caller.Caller.connect(
                    fleet.port(stopped),
                    database=platform_fleet.BOUNDED_DATABASE,
                )
                for _ in range(2)
            ]
            for caller in callers:
                await caller.run('BEGIN READ')
            for server in fleet.group.servers.values():
                server.faults.work = SLOW_READ_SECONDS
            await asyncio.sleep(started + 4.65 - time.monotonic())
            self.assertEqual(await callers[0].run('READ frame'), ['none'])
            # There is no time left for this one.
            with self.assertRaises(platform_caller.AnswerError) as refused:
                await callers[1].run('READ frame')
            self.assertEqual(refused.exception.code, 'BUSY')
            await stopping
            self.assertLess(time.monotonic() - started, GRACE_SECONDS)
            keeping.cancel()

    async def test_a_second_signal_does_not_cut_a_statement(self) -> None:
        """It ended the stop that was under way, with all connections."""
        async with platform_fleet.PlatformFleet(first_port=24450) as fleet:
            stopped = next(index for index in (1, 2) if index != fleet.owner())
            caller = await platform_caller.Caller.connect(
                fleet.port(stopped), database=platform_fleet.BOUNDED_DATABASE
            )
            for server in fleet.group.servers.values():
                server.faults.work = SLOW_READ_SECONDS
            reading = asyncio.ensure_future(caller.run('READ frame'))
            await asyncio.sleep(0.2)
            fleet.signal_host(stopped, signal.SIGTERM)
            await asyncio.sleep(0.2)
            fleet.signal_host(stopped, signal.SIGTERM)
            self.assertEqual(await reading, ['none'])

    async def test_a_long_answer_is_sent_to_its_end(self) -> None:
        """The session counted as idle as soon as the answer had begun."""
        async with platform_fleet.PlatformFleet(first_port=24500) as fleet:
            for server in fleet.group.servers.values():
                server.faults.row_bytes = 50_000
                server.faults.row_count = 60
            caller = await platform_caller.Caller.connect(fleet.port(1))
            # The answer does not fit into the buffers of the connection.
            reading = asyncio.ensure_future(caller.run('READ frame'))
            caller.pause()
            await asyncio.sleep(0.5)
            fleet.signal_host(1, signal.SIGTERM)
            await asyncio.sleep(0.5)
            caller.resume()
            self.assertEqual(len(await reading), 60)
