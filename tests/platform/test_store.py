"""The client of the store, while the store is restored from a copy."""

import asyncio
import typing
import unittest
from unittest import mock

from egretstep import errors
from egretstep.platform import store, store_polls
from egretstep.settings import node
from egretstep.storage import tables
from standins import platform_store

TABLE = 'fleet'
KEY = 'host/host-1'


class StoreEraTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = platform_store.PlatformStore(groups=())
        self.store.put(TABLE, KEY, b'first')
        self.copy = self.store.copy()
        self.store.put(TABLE, KEY, b'second')
        await self.store.start()
        self.client = store.PlatformStore(
            address=node.Address(host='127.0.0.1', port=self.store.port),
        )

    async def asyncTearDown(self) -> None:
        await self.store.stop()

    async def test_rows_of_a_later_era_are_newer(self) -> None:
        before = await self.client.read_row(TABLE, KEY)
        self.store.restore(self.copy)
        after = await self.client.read_row(TABLE, KEY)
        self.assertLess(after.version.number, before.version.number)
        self.assertGreater(after.version, before.version)

    async def test_changes_since_a_version_of_the_former_era_are_gone(
        self,
    ) -> None:
        """The number was given out again, so the store does not notice it."""
        known = (await self.client.read(TABLE)).version
        self.store.restore(self.copy)
        self.store.put(TABLE, KEY, b'third')
        self.store.put(TABLE, 'host/host-2', b'fourth')
        for _ in range(2):
            with self.assertRaises(tables.HistoryGoneError):
                await self.client.changes(TABLE, known, longest_wait=0)

    async def test_a_row_read_in_the_former_era_is_not_replaced(self) -> None:
        before = await self.client.read_row(TABLE, KEY)
        self.store.restore(self.copy)
        self.store.put(TABLE, KEY, b'third')
        await self.client.read(TABLE)
        with self.assertRaises(errors.ConflictError):
            await self._replace(before.version)
        self.assertEqual(self.store.rows[TABLE, KEY][0], b'third')

    async def test_a_write_that_meets_a_restore_is_no_success(self) -> None:
        before = await self.client.read_row(TABLE, KEY)
        self.store.restore(self.copy)
        self.store.put(TABLE, KEY, b'third')
        with self.assertRaises(errors.PlatformError):
            await self._replace(before.version)

    async def test_a_missing_row_is_created_in_the_new_era(self) -> None:
        self.store.restore(self.copy)
        missing = await self.client.read_row(TABLE, 'host/host-2')
        self.assertTrue(missing.version.is_absent)
        await self.client.compare_and_swap(
            TABLE, 'host/host-2', expected=missing.version, content=b'new'
        )
        self.assertIn((TABLE, 'host/host-2'), self.store.rows)

    async def test_a_late_answer_of_the_former_era_is_ignored(self) -> None:
        known = (await self.client.read(TABLE)).version
        self.store.restore(self.copy)
        await self.client.read(TABLE)
        # The stand-in answers as the former store would.
        self.store.era -= 1
        with self.assertRaises(errors.PlatformError):
            await self.client.changes(TABLE, known, longest_wait=0)
        with self.assertRaises(errors.PlatformError):
            await self.client.read(TABLE)

    async def test_a_poll_ends_when_another_call_shows_a_new_era(self) -> None:
        """The number of the known version was given out again meanwhile."""
        known = (await self.client.read(TABLE)).version
        polling = asyncio.ensure_future(self.client.changes(TABLE, known))
        await asyncio.sleep(0.1)
        self.store.restore(self.copy)
        await self.client.read(TABLE)
        with self.assertRaises(tables.HistoryGoneError):
            async with asyncio.timeout(1):
                await polling

    async def _replace(self, expected: tables.Version) -> None:
        await self.client.compare_and_swap(
            TABLE, KEY, expected=expected, content=b'replaced'
        )


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    """The store answers calls, but never the poll that was sent before."""

    async def asyncSetUp(self) -> None:
        self.store = platform_store.PlatformStore(groups=())
        self.store.put(TABLE, KEY, b'first')
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.client = store.PlatformStore(
            address=node.Address(host='127.0.0.1', port=self.store.port),
        )

    async def test_a_poll_ends_when_another_call_is_answered_again(
        self,
    ) -> None:
        polling = await self._poll_without_answer()
        self.store.faults = platform_store.StoreFaults(is_silent=True)
        with self.assertRaises(errors.PlatformError):
            await self.client.read(TABLE)
        self.store.put(TABLE, KEY, b'second')
        self.store.faults.is_silent = False
        await self.client.read(TABLE)
        with self.assertRaises(tables.PollEndedError):
            async with asyncio.timeout(1):
                await polling

    @mock.patch.object(store_polls, 'MISSED_CHANGE_SECONDS', 0.1)
    async def test_a_poll_ends_when_another_call_shows_a_later_version(
        self,
    ) -> None:
        """Only the connection of the poll was silent, for up to 20.5 s."""
        polling = await self._poll_without_answer()
        self.store.faults.loses_polls = False
        self.store.put(TABLE, KEY, b'second')
        await self.client.read('another table')
        with self.assertRaises(tables.PollEndedError):
            async with asyncio.timeout(1):
                await polling

    async def _poll_without_answer(self) -> asyncio.Future[tables.Snapshot]:
        known = (await self.client.read(TABLE)).version
        self.store.faults.loses_polls = True
        polling = asyncio.ensure_future(self.client.changes(TABLE, known))
        await asyncio.sleep(0.1)
        return polling


class PagesTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_row_that_changes_between_two_pages_is_not_missed(
        self,
    ) -> None:
        stand_in = platform_store.PlatformStore(groups=())
        for number in range(2):
            stand_in.put(TABLE, f'host/{number}', b'first')
        stand_in.page_size = 1
        await stand_in.start()
        self.addAsyncCleanup(stand_in.stop)
        client = _ChangingPages(stand_in)
        whole = await client.read(TABLE)
        later = await client.changes(TABLE, whole.version, longest_wait=0)
        self.assertEqual([row.content for row in later.rows], [b'second'])


class _ChangingPages(store.PlatformStore):
    """A client for which the first row changes before the last page."""

    def __init__(self, stand_in: platform_store.PlatformStore) -> None:
        super().__init__(
            address=node.Address(host='127.0.0.1', port=stand_in.port)
        )
        self._stand_in = stand_in

    async def _get(self, *request: typing.Any) -> typing.Any:
        answer = await super()._get(*request)
        if answer.has_more:
            self._stand_in.put(TABLE, 'host/0', b'second')
        return answer
