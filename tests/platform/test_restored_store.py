"""The store returns from a copy that lacks its latest writes.

Its versions go back and are given out a second time.
"""

import asyncio
import signal
import typing
import unittest

from standins import platform_caller, platform_fleet, platform_store

AWAY_SECONDS = 0.5
MAX_SETTINGS_DELAY_SECONDS = 3.0
MAX_RECOVERY_SECONDS = 4.0
# By then each lease that the store or the hosts don't renew has expired.
EXPIRY_SECONDS = 2.0
RETRY_INTERVAL_SECONDS = 0.1
OBSERVED_SECONDS = 2.0


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_route_that_is_added_after_the_return_is_served(
        self,
    ) -> None:
        async with platform_fleet.PlatformFleet(first_port=23800) as fleet:
            copy = fleet.store.copy()
            fleet.configure()
            fleet.configure()
            await asyncio.sleep(0.5)
            await _restore(fleet, copy)
            fleet.added_databases.append('added')
            fleet.configure()
            await asyncio.sleep(MAX_SETTINGS_DELAY_SECONDS)
            for index in range(3):
                caller = await platform_caller.Caller.connect(
                    fleet.port(index), database='added'
                )
                await caller.run('WRITE item 1')
                caller.close()

    async def test_a_service_is_served_whose_claim_was_lost(self) -> None:
        """The claim of the holder is in the lost writes."""
        async with platform_fleet.PlatformFleet(first_port=23850) as fleet:
            copy = fleet.store.copy()
            owner = fleet.owner()
            await fleet.stop_host(owner, signal.SIGKILL)
            await fleet.wait_serving()
            await fleet.start_host(owner)
            await fleet.wait_serving()
            await _restore(fleet, copy)
            await self._assert_recovers(fleet)

    async def test_a_service_is_served_that_was_handed_over(self) -> None:
        """The planned stops of all hosts are in the lost writes."""
        async with platform_fleet.PlatformFleet(first_port=23900) as fleet:
            copy = fleet.store.copy()
            for index in range(3):
                await fleet.stop_host(index)
                await fleet.start_host(index)
                await fleet.wait_serving()
            await _restore(fleet, copy)
            await self._assert_recovers(fleet)

    async def test_a_withdrawn_key_stays_withdrawn_on_a_started_host(
        self,
    ) -> None:
        """The operator has not yet repeated the withdrawal."""
        async with platform_fleet.PlatformFleet(first_port=23950) as fleet:
            copy = fleet.store.copy()
            started = (fleet.owner() + 1) % 3
            fleet.keys['depot'] = []
            fleet.configure()
            await asyncio.sleep(0.5)
            await fleet.stop_host(started, signal.SIGKILL)
            await _restore(fleet, copy, rewritten_tables=('servers',))
            await fleet.start_host(started)
            with self.assertRaises(platform_caller.AnswerError) as refused:
                await _connect_when_started(fleet, started)
            self.assertEqual(refused.exception.code, 'NOAUTH')

    async def _assert_recovers(
        self, fleet: platform_fleet.PlatformFleet
    ) -> None:
        """Check that all hosts soon accept writes, and then all the time."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(EXPIRY_SECONDS)
        async with asyncio.timeout(MAX_RECOVERY_SECONDS):
            await fleet.wait_serving()
        end = loop.time() + OBSERVED_SECONDS
        while loop.time() < end:
            for index in range(3):
                caller = await platform_caller.Caller.connect(fleet.port(index))
                await caller.run('WRITE item 1')
                caller.close()
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)


async def _restore(
    fleet: platform_fleet.PlatformFleet,
    copy: platform_store.StoreCopy,
    rewritten_tables: typing.Collection[str] = ('op', 'servers'),
) -> None:
    await fleet.store.stop()
    await asyncio.sleep(AWAY_SECONDS)
    fleet.store.restore(copy, rewritten_tables=rewritten_tables)
    await fleet.store.start()


async def _connect_when_started(
    fleet: platform_fleet.PlatformFleet, index: int
) -> None:
    """Connect to a host as soon as it accepts connections."""
    async with asyncio.timeout(MAX_RECOVERY_SECONDS):
        while True:
            try:
                await platform_caller.Caller.connect(fleet.port(index))
            except OSError:
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            else:
                return
