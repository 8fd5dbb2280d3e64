"""Rows of hosts after the store was restored from a copy without them.

A host without a row could not be called, and was not counted in majorities; a
stopped host whose row was lost counted again.
"""

import asyncio
import unittest
from unittest import mock

from egretstep import clock, identifiers
from egretstep.membership import directory, host_registration, host_rows
from egretstep.storage import tables
from tests import platform_fakes

OWN = identifiers.HostName('own')
OTHER = identifiers.HostName('other')
SOON_SECONDS = 0.1


class LostRowsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = platform_fakes.FakeTables()
        self.registration = host_rows.Registration(store=self.store)
        self.before: dict[tuple[str, str], tables.Row] = {}
        pending = await self.registration.start(platform_fakes.host(OWN))
        self.hosts = directory.Directory(
            own=pending.own, time_source=clock.MonotonicClock()
        )
        self.hosts.is_registered = False
        self.upkeep = host_registration.HostRegistration(
            registration=self.registration,
            pending=pending,
            hosts=self.hosts,
        )
        self.running = asyncio.ensure_future(self.upkeep.run())
        self.addCleanup(self.running.cancel)
        await asyncio.sleep(SOON_SECONDS)
        self.other = await self._register(OTHER)
        self._follow_store()

    async def test_a_lost_row_of_this_host_is_written_again(self) -> None:
        self._restore()
        await asyncio.sleep(SOON_SECONDS)
        stored = self._stored(OWN)
        self.assertEqual(stored, self.hosts.own)

    async def test_a_host_without_a_row_is_kept(self) -> None:
        self._restore()
        self.assertIn(OTHER, self.hosts.hosts)
        self.assertIn(OTHER, self.hosts.up_host_names())

    async def test_a_row_of_a_host_that_answers_is_left_to_it(self) -> None:
        self._restore()
        await asyncio.sleep(SOON_SECONDS)
        self.assertIsNone(self._stored(OTHER))

    async def test_a_lost_row_of_a_stopped_host_is_written_again(self) -> None:
        self.before = dict(self.store.rows)
        await self.registration.change(self.other, directory.HostState.GONE)
        self._follow_store()
        self._restore()
        await asyncio.sleep(SOON_SECONDS)
        stored = self._stored(OTHER)
        self.assertEqual(
            stored and stored.state,
            directory.HostState.GONE,
        )
        self.assertEqual(self.hosts.up_host_names(), [OWN])

    async def test_an_older_row_does_not_replace_a_restarted_host(
        self,
    ) -> None:
        self.before = dict(self.store.rows)
        restarted = await self._register(OTHER)
        self._follow_store()
        self._restore()
        self.assertEqual(self.hosts.hosts[OTHER], restarted)

    async def test_a_late_write_of_a_former_era_is_replaced(self) -> None:
        """Its version number was given out again, so the store accepts it."""
        former = self.hosts.own
        self._restore()
        await asyncio.sleep(SOON_SECONDS)
        restarted = await self._restart_own()
        self._put_late(former)
        self._follow_store()
        self.assertEqual(self.hosts.own, restarted)
        await asyncio.sleep(SOON_SECONDS)
        self.assertEqual(self._stored(OWN), restarted)

    async def test_a_late_write_over_a_stopped_host_is_replaced(self) -> None:
        await self.registration.change(self.other, directory.HostState.GONE)
        self._follow_store()
        self._put_late(self.other)
        self._follow_store()
        self.assertEqual(self.hosts.up_host_names(), [OWN])
        await asyncio.sleep(SOON_SECONDS)
        stored = self._stored(OTHER)
        self.assertEqual(stored and stored.state, directory.HostState.GONE)

    async def test_a_write_that_fails_is_tried_again(self) -> None:
        with mock.patch.object(
            host_registration, 'RETRY_SECONDS', SOON_SECONDS / 4
        ):
            self._restore()
            self.store.is_down = True
            await asyncio.sleep(SOON_SECONDS)
            self.store.is_down = False
            await asyncio.sleep(SOON_SECONDS)
        self.assertEqual(self._stored(OWN), self.hosts.own)

    def _restore(self) -> None:
        self.store.restore(self.before)
        self._follow_store()

    async def _restart_own(self) -> directory.Host:
        restarted = await self._register(OWN)
        self.hosts.mark_registered(restarted)
        return restarted

    def _put_late(self, host: directory.Host) -> None:
        """Let a delayed write replace whatever row is stored."""
        key = directory.PREFIX + host.host
        self.store.rows[directory.TABLE, key] = tables.Row(
            key=key,
            content=directory.encode(host),
            version=self.store._next_version(),
        )

    def _follow_store(self) -> None:
        self.hosts.update({
            key: row for (_, key), row in self.store.rows.items()
        })
        self.upkeep.check()

    async def _register(self, name: identifiers.HostName) -> directory.Host:
        started = await self.registration.start(platform_fakes.host(name))
        return await self.registration.register(started)

    def _stored(self, name: identifiers.HostName) -> directory.Host | None:
        row = self.store.rows.get((directory.TABLE, directory.PREFIX + name))
        return directory.decode(row.content) if row else None
