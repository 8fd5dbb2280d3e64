import asyncio
import typing
from unittest import mock

from egretstep import identifiers
from egretstep.storage import feed_follower, tables, watching
from tests import platform_fakes, virtual_time
from tests.storage import feed_fakes

SOON = 0.5


class ChangeFeedTest(virtual_time.VirtualTimeTestCase):
    """Many hosts follow the same tables of the store."""

    def setUp(self) -> None:
        self.running: list[asyncio.Future[None]] = []
        self.store = feed_fakes.FakeStore()
        self.store.put('first')

    def tearDown(self) -> None:
        for task in self.running:
            task.cancel()

    async def _start(self, host: feed_fakes.Host) -> feed_fakes.Host:
        for run in (*(each.run for each in host.watches), host.follower.run):
            self.running.append(asyncio.ensure_future(run()))
        await asyncio.sleep(0.02)
        return host

    async def _relayed(
        self, count: int
    ) -> tuple[feed_fakes.Host, list[feed_fakes.Host]]:
        relay = await self._start(feed_fakes.Host(self.store))
        followers = []
        for _ in range(count):
            follower = feed_fakes.Host(self.store, relay='relay')
            follower.others['relay'] = relay
            followers.append(await self._start(follower))
        self.store.put('settling')
        await asyncio.sleep(feed_fakes.WAIT_SECONDS * 2.5)
        return relay, followers

    async def test_store_calls_do_not_grow_with_the_fleet(self) -> None:
        calls = []
        for count in (1, 20):
            _, followers = await self._relayed(count)
            before = self.store.calls
            self.store.put(f'change-{count}')
            await asyncio.sleep(0.05)
            calls.append(self.store.calls - before)
            for follower in followers:
                self.assertIn(f'change-{count}', follower.keys)
            self.tearDown()
        self.assertLessEqual(calls[1], calls[0] + 2)

    async def test_deletions_reach_the_followers(self) -> None:
        follower = (await self._relayed(1))[1][0]
        self.store.put('first', None)
        await asyncio.sleep(0.05)
        self.assertNotIn('first', follower.keys)

    async def test_relay_without_history_sends_all_keys(
        self,
    ) -> None:
        late = feed_fakes.Host(self.store)
        follower = feed_fakes.Host(self.store)
        follower.watch.accept(
            tables.Snapshot(
                rows=(
                    tables.Row(
                        key='gone',
                        content=b'',
                        version=platform_fakes.version(1),
                    ),
                ),
                version=platform_fakes.version(1),
            ),
            confirmed_at=0,
        )
        late.watch.accept(
            await self.store.read(feed_fakes.TABLE),
            confirmed_at=late.clock.now(),
        )
        late.watch._history_start = self.store.version
        answer = await late.feed_server.poll({
            feed_fakes.TABLE: follower.watch.version
        })
        follower.watch.accept(answer.tables[feed_fakes.TABLE], confirmed_at=0)
        self.assertEqual(follower.keys, {'first'})

    async def test_stale_relay_sends_no_changes(self) -> None:
        behind = feed_fakes.Host(self.store)
        ahead = feed_fakes.Host(self.store)
        behind.watch.accept(
            await self.store.read(feed_fakes.TABLE), confirmed_at=0
        )
        self.store.put('newer')
        ahead.watch.accept(
            await self.store.read(feed_fakes.TABLE), confirmed_at=0
        )
        answer = await behind.feed_server.poll({
            feed_fakes.TABLE: ahead.watch.version
        })
        self.assertEqual(dict(answer.tables), {})
        self.assertEqual(ahead.keys, {'first', 'newer'})

    async def test_relay_with_stale_answers_is_passed_over(self) -> None:
        relay, (follower,) = await self._relayed(1)
        self.assertFalse(follower.watch.follows_store.is_set())
        cut_off = feed_fakes.FakeStore()
        cut_off.is_down = True
        for watch in relay.watches:
            watch._store = typing.cast(tables.Tables, cut_off)
        # The open feeds of the relay receive nothing any more.
        self.running[0].cancel()
        self.running[1].cancel()
        await asyncio.sleep(feed_fakes.WAIT_SECONDS * 4)
        self.store.put('after the cut')
        await asyncio.sleep(0.05)
        self.assertEqual(follower.fake_source.passed_over[:1], ['relay'])
        self.assertIn('after the cut', follower.keys)

    async def test_unreachable_relay_is_passed_over_at_once(self) -> None:
        follower = (await self._relayed(1))[1][0]
        follower.others.clear()
        await asyncio.sleep(feed_fakes.WAIT_SECONDS * 1.5)
        self.store.put('after the loss')
        await asyncio.sleep(0.05)
        self.assertIn('after the loss', follower.keys)

    async def test_host_without_the_store_follows_another_host(self) -> None:
        other_host = await self._start(feed_fakes.Host(self.store))
        refused = feed_fakes.FakeStore()
        refused.put('first')
        alone = feed_fakes.Host(refused)
        alone.others['other'] = other_host
        alone.fake_source.other_host = 'other'
        await self._start(alone)
        self.store.put('only told to others')
        # Its own feed is open but silent; a lease call found the store down.
        alone.store_answers = False
        await asyncio.sleep(
            feed_follower.SOURCE_CHECK_SECONDS + feed_fakes.WAIT_SECONDS * 2
        )
        self.assertIn('only told to others', alone.keys)
        self.assertEqual(alone.watch.source, 'other')

    async def test_relay_without_the_store_answers_while_that_is_of_use(
        self,
    ) -> None:
        """Its followers waited for answers that they then rejected."""
        relay = feed_fakes.Host(self.store)
        former_age = feed_fakes.WAIT_SECONDS * 1.5
        asked_at = relay.clock.now()
        for watch in relay.watches:
            watch.accept(
                await self.store.read(watch.table),
                confirmed_at=asked_at - former_age,
            )
        self.store.is_down = True
        relay.watch.follows_store.set()
        failing = asyncio.ensure_future(relay.watch.run())
        self.running.append(failing)
        await asyncio.sleep(0)
        self.assertTrue(relay.watch.is_failing)
        await relay.feed_server.poll({feed_fakes.TABLE: relay.watch.version})
        self.assertAlmostEqual(
            relay.clock.now() - asked_at, feed_fakes.WAIT_SECONDS / 2
        )

    async def test_starting_relay_answers_after_its_first_read(self) -> None:
        """A whole fleet starts at once, including its relays."""
        relay = feed_fakes.Host(self.store)
        relay.watches[1].accept(
            await self.store.read(feed_fakes.OTHER_TABLE), confirmed_at=0
        )
        asked = asyncio.ensure_future(
            relay.feed_server.poll({
                feed_fakes.TABLE: tables.NO_VERSION,
                feed_fakes.OTHER_TABLE: tables.NO_VERSION,
            })
        )
        await asyncio.sleep(feed_fakes.WAIT_SECONDS / 4)
        self.assertFalse(asked.done())
        now = relay.clock.now()
        relay.watch.accept(
            await self.store.read(feed_fakes.TABLE), confirmed_at=now
        )
        answer = await asked
        self.assertLess(answer.age, feed_fakes.WAIT_SECONDS)
        self.assertEqual(
            set(answer.tables), {feed_fakes.TABLE, feed_fakes.OTHER_TABLE}
        )

    async def test_table_that_the_relay_has_not_read_stays_unsynced(
        self,
    ) -> None:
        relay = feed_fakes.Host(self.store)
        now = relay.clock.now()
        relay.watch.accept(
            await self.store.read(feed_fakes.TABLE), confirmed_at=now
        )
        new = feed_fakes.Host(self.store, relay='relay')
        new.others['relay'] = relay
        for watch in new.watches:
            watch._requires_store_read = False
        await new.follower._follow_host(identifiers.HostName('relay'))
        self.assertEqual(
            [watch.is_synced for watch in new.watches],
            [True, False],
        )

    @mock.patch.object(
        watching, 'WHOLE_READ_SPREAD_SECONDS', feed_fakes.WAIT_SECONDS / 10
    )
    async def test_changes_of_a_new_era_reach_the_followers(self) -> None:
        follower = (await self._relayed(1))[1][0]
        self.store.restore({'restored'})
        await asyncio.sleep(feed_fakes.WAIT_SECONDS)
        self.assertEqual(follower.keys, {'restored'})
        self.store.put('written later')
        await asyncio.sleep(feed_fakes.WAIT_SECONDS)
        self.assertIn('written later', follower.keys)
        self.assertEqual(follower.fake_source.passed_over, [])

    async def test_relay_that_has_not_noticed_the_restore_is_passed_over(
        self,
    ) -> None:
        relay = feed_fakes.Host(self.store)
        now = relay.clock.now()
        relay.watch.accept(
            await self.store.read(feed_fakes.TABLE), confirmed_at=now
        )
        follower = feed_fakes.Host(self.store, relay='relay')
        follower.others['relay'] = relay
        self.store.restore({'restored'})
        follower.watch.load(await self.store.read(feed_fakes.TABLE))
        confirmed_at = follower.watch.confirmed_at
        await follower.follower._follow_host(identifiers.HostName('relay'))
        self.assertEqual(follower.fake_source.passed_over, ['relay'])
        self.assertEqual(follower.watch.confirmed_at, confirmed_at)

    async def test_relay_that_has_reread_some_tables_stays_followed(
        self,
    ) -> None:
        """All hosts left their relays for the store after each restore."""
        relay = feed_fakes.Host(self.store)
        follower = feed_fakes.Host(self.store, relay='relay')
        follower.others['relay'] = relay
        for watch in (*relay.watches, *follower.watches):
            watch.load(await self.store.read(watch.table))
        self.store.restore({'restored'})
        self.store.is_down = True
        relay.watches[1].load(self._restored_snapshot())
        for _ in range(2):
            await follower.follower._follow_host(identifiers.HostName('relay'))
        self.assertEqual(follower.fake_source.passed_over, [])
        self.assertEqual(follower.watches[1].version, self.store.version)

    def _restored_snapshot(self) -> tables.Snapshot:
        rows = tuple(self.store.rows.values())
        return tables.Snapshot(rows=rows, version=self.store.version)

    async def test_started_host_reads_the_store_first(
        self,
    ) -> None:
        relay = await self._start(feed_fakes.Host(self.store))
        new = feed_fakes.Host(self.store, relay='relay')
        new.others['relay'] = relay
        await new.follower._follow_host(
            identifiers.HostName('relay'),
            replaces_store=True,
        )
        self.assertFalse(new.watch.is_synced)
