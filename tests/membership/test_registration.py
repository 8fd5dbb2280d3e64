"""Registration when all hosts start at once.

The store writes one row after the other, so that a write can be late, or its
answer lost.
"""

import asyncio
import unittest
import unittest.mock

from egretstep import clock, errors
from egretstep.membership import claiming, directory, host_rows
from tests import platform_fakes


class RegistrationTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = platform_fakes.FakeTables()
        self.registration = host_rows.Registration(store=self.store)

    async def _start(self) -> directory.Host:
        started = await self.registration.start(platform_fakes.host('own'))
        return await self.registration.register(started)

    async def test_each_start_has_a_greater_boot_number(self) -> None:
        boots = [(await self._start()).boot for _ in range(3)]
        self.assertEqual([boot - boots[0] for boot in boots], [0, 1, 2])

    async def test_a_boot_number_is_not_reused_after_a_restore(self) -> None:
        """Others would take the claims of the lost process for this one's."""
        await self._start()
        rows = dict(self.store.rows)
        lost = await self._start()
        self.store.restore(rows)
        self.assertGreater((await self._start()).boot, lost.boot)

    async def test_a_delayed_write_of_an_earlier_process_is_noticed(
        self,
    ) -> None:
        earlier = await self.registration.start(platform_fakes.host('own'))
        later = await self.registration.start(platform_fakes.host('own'))
        first = await self.registration.register(earlier)
        second = await self.registration.register(later)
        self.assertGreater(second.boot, first.boot)

    async def test_a_boot_number_is_not_reused_after_a_lost_answer(
        self,
    ) -> None:
        started = await self.registration.start(platform_fakes.host('own'))
        self.store.loses_answers = True
        with self.assertRaises(errors.PlatformError):
            await self.registration.register(started)
        self.store.loses_answers = False
        own = await self.registration.register(started)
        self.assertEqual(own.boot, started.own.boot + 1)

    async def test_no_task_is_claimed_before_the_row_is_stored(self) -> None:
        hosts = directory.Directory(
            own=platform_fakes.host('own'),
            time_source=clock.MonotonicClock(),
        )
        hosts.is_registered = False
        claimant = claiming.Claimant(
            keeper=unittest.mock.MagicMock(
                is_synced=True,
                task_received=asyncio.Event(),
            ),
            hosts=hosts,
            prober=unittest.mock.MagicMock(),
            wanted=tuple,
            start=unittest.mock.MagicMock(),
            time_source=clock.MonotonicClock(),
        )
        with unittest.mock.patch.object(claimant, '_check_tasks') as check:
            running = asyncio.ensure_future(claimant.run())
            await asyncio.sleep(claiming.CHECK_INTERVAL_SECONDS * 2.5)
            self.assertEqual(check.call_count, 0)
            hosts.is_registered = True
            await asyncio.sleep(claiming.CHECK_INTERVAL_SECONDS * 1.5)
            self.assertGreater(check.call_count, 0)
            running.cancel()
