"""Processes of the host program against a stand-in of the platform."""

import asyncio
import signal
import unittest

from egretstep.observability import log_trail
from standins import platform_caller, platform_fleet

RETRY_INTERVAL_SECONDS = 0.05
MAX_GAP_SECONDS = 4.0


async def _write_until_done(
    fleet: platform_fleet.PlatformFleet,
    item: str,
    hosts: int = 3,
) -> float:
    """Write through the hosts in turn until one acknowledges.

    Returns the seconds that this took.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    attempt = 0
    while loop.time() - started < MAX_GAP_SECONDS * 2:
        attempt += 1
        try:
            caller = await platform_caller.Caller.connect(
                fleet.port(attempt % hosts),
            )
            await caller.run(f'WRITE {item} {attempt}')
        except (OSError, platform_caller.AnswerError):
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            continue
        caller.close()
        return loop.time() - started
    raise AssertionError(f'no write in {MAX_GAP_SECONDS * 2} s')


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    async def test_reads_see_the_own_write_on_every_host(self) -> None:
        async with platform_fleet.PlatformFleet(first_port=23000) as fleet:
            for index in range(3):
                caller = await platform_caller.Caller.connect(
                    fleet.port(index),
                    database=platform_fleet.SESSION_DATABASE,
                )
                await caller.run(f'WRITE frame {index}')
                self.assertEqual(await caller.run('READ frame'), [str(index)])
                caller.close()

    async def test_a_transaction_keeps_its_connection_and_values(self) -> None:
        async with platform_fleet.PlatformFleet(first_port=23050) as fleet:
            one = await platform_caller.Caller.connect(fleet.port(0))
            two = await platform_caller.Caller.connect(fleet.port(1))
            await one.run('SET language it')
            await one.run('PREPARE entry WRITE shape-1')
            await one.run('BEGIN')
            await one.run('EXECUTE entry frame out')
            self.assertEqual(one.transaction_state, 'T')
            self.assertEqual(await two.run('READ frame'), ['none'])
            await one.run('COMMIT')
            self.assertEqual(one.transaction_state, 'I')
            self.assertEqual(await two.run('READ frame'), ['out'])
            values = {
                statement.values
                for statement in fleet.group.executed_statements
                if 'out' in statement.text or statement.text == 'COMMIT'
            }
            self.assertEqual(values, {(('language', 'it'),)})

    async def test_keys_and_databases_are_checked(self) -> None:
        async with platform_fleet.PlatformFleet(first_port=23100) as fleet:
            with self.assertRaises(platform_caller.AnswerError) as refused:
                await platform_caller.Caller.connect(fleet.port(0), key='no')
            self.assertEqual(refused.exception.code, 'NOAUTH')
            with self.assertRaises(platform_caller.AnswerError) as refused:
                await platform_caller.Caller.connect(
                    fleet.port(0),
                    database='no',
                )
            self.assertEqual(refused.exception.code, 'NODB')
            caller = await platform_caller.Caller.connect(fleet.port(2))
            await caller.run('READ frame')
            fleet.keys['depot'] = []
            fleet.configure()
            await asyncio.sleep(0.3)
            with self.assertRaises(platform_caller.AnswerError) as refused:
                await caller.run('READ frame')
            self.assertEqual(refused.exception.code, 'NOAUTH')

    async def test_a_lost_primary_is_replaced(self) -> None:
        async with platform_fleet.PlatformFleet(first_port=23150) as fleet:
            await fleet.group.primary.stop()
            gap = await _write_until_done(fleet, 'after')
            self.assertLess(gap, MAX_GAP_SECONDS)
            self.assertEqual(
                len({
                    request.token for request in fleet.store.promotion_requests
                }),
                1,
            )

    async def test_log_trail_of_a_request_shows_the_lost_primary(self) -> None:
        async with platform_fleet.PlatformFleet(first_port=23400) as fleet:
            fleet.group.primary.faults.is_silent = True
            caller = await platform_caller.Caller.connect(fleet.port(0))
            with self.assertRaises(platform_caller.AnswerError):
                await caller.run('WRITE item 1', statement_id='feed0001')
            await _write_until_done(fleet, 'after')
            texts = self._trail(fleet, 'feed0001')
            causes = [
                text
                for text in texts
                if 'request failed' in text or 'service ledger: repl' in text
            ]
            self.assertGreaterEqual(len(causes), 2, texts)

    def _trail(
        self,
        fleet: platform_fleet.PlatformFleet,
        request_id: str,
    ) -> list[str]:
        reader = log_trail.LogReader()
        lines = [
            line
            for index in range(3)
            for line in reader.read(
                f'host-{index}',
                fleet.read_log(index).splitlines(),
            )
        ]
        return [line.text() for line in log_trail.find_trail(lines, request_id)]

    async def test_a_killed_owner_is_replaced(self) -> None:
        async with platform_fleet.PlatformFleet(first_port=23200) as fleet:
            owner = fleet.owner()
            await fleet.stop_host(owner, signal.SIGKILL)
            gap = await _write_until_done(fleet, 'after')
            self.assertLess(gap, MAX_GAP_SECONDS * 1.5)

    async def test_writes_succeed_while_the_store_is_silent(self) -> None:
        async with platform_fleet.PlatformFleet(first_port=23250) as fleet:
            fleet.store.faults.is_silent = True
            await asyncio.sleep(MAX_GAP_SECONDS)
            gap = await _write_until_done(fleet, 'without-store')
            self.assertLess(gap, 1)

    async def test_a_planned_stop_of_the_owner_is_quick(self) -> None:
        async with platform_fleet.PlatformFleet(first_port=23300) as fleet:
            owner = fleet.owner()
            stopping = asyncio.ensure_future(fleet.stop_host(owner))
            await asyncio.sleep(0.1)
            gap = await _write_until_done(fleet, 'after')
            self.assertLess(gap, 1.5)
            await stopping

    async def test_no_connection_outlives_a_planned_stop(self) -> None:
        """Guards against connections that are open when the loop ends."""
        async with platform_fleet.PlatformFleet(first_port=23530) as fleet:
            caller = await platform_caller.Caller.connect(fleet.port(0))
            await caller.run('WRITE frame 1')
            await fleet.stop_host(0)
            log = fleet.read_log(0)
            self.assertIn('host host-0 has stopped', log)
            self.assertNotIn('Event loop is closed', log)

    async def test_a_planned_stop_waits_for_the_store(self) -> None:
        """While the store doesn't answer, no successor can be recorded.

        The stopping owner must go on serving until one is.
        """
        async with platform_fleet.PlatformFleet(first_port=23450) as fleet:
            owner = fleet.owner()
            fleet.store.faults.is_silent = True
            await asyncio.sleep(1)
            stopping = asyncio.ensure_future(fleet.stop_host(owner))
            await asyncio.sleep(1)
            self.assertLess(await _write_until_done(fleet, 'meanwhile'), 1)
            await asyncio.sleep(0.5)
            fleet.store.faults.is_silent = False
            await asyncio.sleep(0.5)
            self.assertLess(await _write_until_done(fleet, 'after'), 1.5)
            await stopping

    async def test_metrics_and_readiness_are_served(self) -> None:
        async with platform_fleet.PlatformFleet(first_port=23350) as fleet:
            page = await self._get(fleet.metrics_port(0), '/metrics')
            self.assertIn('egretstep_statements_total', page)
            ready = await self._get(fleet.port(0) + 1, '/v1/readiness')
            self.assertIn('200', ready.splitlines()[0])

    async def _get(self, port: int, path: str) -> str:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        request = f'GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
        writer.write(request.encode())
        page = await reader.read()
        writer.close()
        return page.decode()

    async def test_a_draining_primary_is_replaced_without_a_refusal(
        self,
    ) -> None:
        async with platform_fleet.PlatformFleet(first_port=23400) as fleet:
            draining = fleet.group.primary
            draining.state = 'draining'
            fleet.store.register_all()
            caller = await platform_caller.Caller.connect(fleet.port(0))
            for index in range(30):
                await caller.run(f'WRITE item {index}')
                await asyncio.sleep(0.02)
            self.assertIsNot(fleet.group.primary, draining)
            self.assertEqual(await caller.run('READ item'), ['29'])

    async def test_a_zone_that_is_taken_out_gets_no_work(self) -> None:
        async with platform_fleet.PlatformFleet(first_port=23450) as fleet:
            zone = fleet.group.primary.zone
            fleet.store.put('op', f'evacuate/{zone}', b'{}')
            await asyncio.sleep(2)
            before = len(fleet.group.executed_statements)
            for index in range(3):
                caller = await platform_caller.Caller.connect(
                    fleet.port(index),
                    database=platform_fleet.BOUNDED_DATABASE,
                )
                await caller.run('READ frame')
                await caller.run('WRITE frame 1')
                caller.close()
            zones = {
                fleet.group.servers[statement.server].zone
                for statement in fleet.group.executed_statements[before:]
            }
            self.assertNotIn(zone, zones)

    async def test_a_withdrawn_key_is_refused_while_the_store_is_busy(
        self,
    ) -> None:
        async with platform_fleet.PlatformFleet(first_port=23500) as fleet:
            caller = await platform_caller.Caller.connect(fleet.port(1))
            await caller.run('READ frame')
            fleet.keys['depot'] = []
            fleet.configure()
            fleet.store.faults.is_busy = True
            await asyncio.sleep(1)
            with self.assertRaises(platform_caller.AnswerError) as refused:
                await caller.run('READ frame')
            self.assertEqual(refused.exception.code, 'NOAUTH')
