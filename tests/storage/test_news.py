import asyncio
import typing
import unittest

from egretstep import clock, errors, identifiers
from egretstep.storage import news, tables, watching

WAIT = 0.1
TABLE = 'op'
OTHER = 'servers'
SOON = 0.5


class FeedTables:
    """A store whose feed answers as soon as something changes."""

    def __init__(self) -> None:
        self.calls = 0
        self.is_down = False
        self.rows: dict[str, tables.Row] = {}
        self.version = 1
        self._changed = asyncio.Event()

    def put(self, key: str, content: bytes | None = b'x') -> None:
        self.version += 1
        self.rows[key] = tables.Row(
            key=key,
            content=content or b'',
            version=self.version,
            is_deleted=content is None,
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def read(self, _table: str, _prefix: str = '') -> tables.Snapshot:
        self._call()
        rows = tuple(row for row in self.rows.values() if not row.is_deleted)
        return tables.Snapshot(rows=rows, version=self.version)

    async def changes(
        self,
        _table: str,
        after: int,
        *,
        longest_wait: float = tables.LONGEST_WAIT_SECONDS,
    ) -> tables.Snapshot:
        self._call()
        if longest_wait and self.version <= after:
            await asyncio.wait_for(self._changed.wait(), longest_wait)
        self._check()
        rows = tuple(row for row in self.rows.values() if row.version > after)
        return tables.Snapshot(rows=rows, version=self.version)

    def _call(self) -> None:
        self.calls += 1
        self._check()

    def _check(self) -> None:
        if self.is_down:
            raise errors.PlatformError('the store is down')


class Choice:
    """Names the relay that a test wants."""

    def __init__(self, relay: str | None) -> None:
        self.named = relay
        self.other: str | None = None
        self.passed_over: list[str] = []

    def relay(self) -> typing.Any:
        return None if self.named in self.passed_over else self.named

    def any_host(self) -> typing.Any:
        return self.other

    def pass_over(self, host: identifiers.HostName) -> None:
        self.passed_over.append(host)


class Host:
    """The watches, desk and follower of one host."""

    def __init__(self, store: FeedTables, relay: str | None = None) -> None:
        self.clock = clock.MonotonicClock()
        self.watches = [
            watching.TableWatch(
                store=typing.cast(tables.Tables, store),
                table=table,
                time_source=self.clock,
            )
            for table in (TABLE, OTHER)
        ]
        self.watch = self.watches[0]
        self.desk = news.NewsDesk(
            watches=self.watches,
            wait=WAIT,
            time_source=self.clock,
        )
        self.choice = Choice(relay)
        self.others: dict[str, Host] = {}
        self.store_answers = True
        self.follower = news.NewsFollower(
            watches=self.watches,
            source=self.choice,
            ask=self._ask,
            wait=WAIT,
            store_answers=lambda: self.store_answers,
            fleet_size=lambda: 3,
            first_choice_after=0,
            time_source=self.clock,
        )

    @property
    def keys(self) -> set[str]:
        return set(self.watch.rows)

    async def _ask(
        self,
        host: identifiers.HostName,
        known: news.Versions,
    ) -> news.News | None:
        other = self.others.get(host)
        return await other.desk.news(known) if other else None


class NewsTest(unittest.IsolatedAsyncioTestCase):
    """Load pattern: many hosts follow the same tables of the store."""

    def setUp(self) -> None:
        self.running: list[asyncio.Future[None]] = []
        self.store = FeedTables()
        self.store.put('first')

    def tearDown(self) -> None:
        for task in self.running:
            task.cancel()

    async def _start(self, host: Host) -> Host:
        for run in (*(each.run for each in host.watches), host.follower.run):
            self.running.append(asyncio.ensure_future(run()))
        await asyncio.sleep(0.02)
        return host

    async def _relayed(self, count: int) -> tuple[Host, list[Host]]:
        relay = await self._start(Host(self.store))
        followers = []
        for _ in range(count):
            follower = Host(self.store, relay='relay')
            follower.others['relay'] = relay
            followers.append(await self._start(follower))
        self.store.put('settling')
        await asyncio.sleep(WAIT * 2)
        return relay, followers

    async def test_calls_for_a_change_do_not_grow_with_the_hosts(self) -> None:
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

    async def test_rows_that_are_dropped_go_at_the_followers_too(self) -> None:
        follower = (await self._relayed(1))[1][0]
        self.store.put('first', None)
        await asyncio.sleep(0.05)
        self.assertNotIn('first', follower.keys)

    async def test_a_relay_without_history_names_the_rows_there_are(
        self,
    ) -> None:
        late = Host(self.store)
        follower = Host(self.store)
        follower.watch.accept(
            tables.Snapshot(
                rows=(tables.Row(key='gone', content=b'', version=1),),
                version=1,
            ),
            confirmed_at=0,
        )
        late.watch.accept(
            await self.store.read(TABLE),
            confirmed_at=late.clock.now(),
        )
        late.watch._complete_since = self.store.version
        found = await late.desk.news({TABLE: follower.watch.version})
        follower.watch.accept(found.tables[TABLE], confirmed_at=0)
        self.assertEqual(follower.keys, {'first'})

    async def test_a_relay_that_is_behind_takes_nothing_back(self) -> None:
        behind = Host(self.store)
        ahead = Host(self.store)
        behind.watch.accept(await self.store.read(TABLE), confirmed_at=0)
        self.store.put('newer')
        ahead.watch.accept(await self.store.read(TABLE), confirmed_at=0)
        found = await behind.desk.news({TABLE: ahead.watch.version})
        self.assertEqual(dict(found.tables), {})
        self.assertEqual(ahead.keys, {'first', 'newer'})

    async def test_who_can_not_vouch_for_its_news_is_passed_over(self) -> None:
        relay, (follower,) = await self._relayed(1)
        self.assertFalse(follower.watch.asks_store.is_set())
        cut_off = FeedTables()
        cut_off.is_down = True
        for watch in relay.watches:
            watch._store = typing.cast(tables.Tables, cut_off)
        # The feeds that are open hear nothing any more.
        self.running[0].cancel()
        self.running[1].cancel()
        await asyncio.sleep(WAIT * 4)
        self.store.put('after the cut')
        await asyncio.sleep(0.05)
        self.assertEqual(follower.choice.passed_over[:1], ['relay'])
        self.assertIn('after the cut', follower.keys)

    async def test_a_relay_that_is_gone_is_passed_over_at_once(self) -> None:
        follower = (await self._relayed(1))[1][0]
        follower.others.clear()
        await asyncio.sleep(WAIT * 1.5)
        self.store.put('after the loss')
        await asyncio.sleep(0.05)
        self.assertIn('after the loss', follower.keys)

    async def test_a_host_that_the_store_refuses_asks_another_one(self) -> None:
        other = await self._start(Host(self.store))
        refused = FeedTables()
        refused.put('first')
        alone = Host(refused)
        alone.others['other'] = other
        alone.choice.other = 'other'
        await self._start(alone)
        self.store.put('only told to others')
        # Its own feed is open and hears nothing; a lease noticed it.
        alone.store_answers = False
        await asyncio.sleep(news.CHOICE_SECONDS + WAIT * 2)
        self.assertIn('only told to others', alone.keys)
        self.assertEqual(alone.watch.source, 'other')

    async def test_a_relay_that_starts_is_waited_for(self) -> None:
        """Load pattern: a whole fleet starts, and its relays with it."""
        relay = Host(self.store)
        relay.watches[1].accept(await self.store.read(OTHER), confirmed_at=0)
        asked = asyncio.ensure_future(relay.desk.news({TABLE: 0, OTHER: 0}))
        await asyncio.sleep(WAIT / 4)
        self.assertFalse(asked.done())
        now = relay.clock.now()
        relay.watch.accept(await self.store.read(TABLE), confirmed_at=now)
        found = await asked
        self.assertLess(found.age, WAIT)
        self.assertEqual(set(found.tables), {TABLE, OTHER})

    async def test_a_table_that_a_relay_lacks_stays_unknown(self) -> None:
        relay = Host(self.store)
        now = relay.clock.now()
        relay.watch.accept(await self.store.read(TABLE), confirmed_at=now)
        new = Host(self.store, relay='relay')
        new.others['relay'] = relay
        for watch in new.watches:
            watch._starts_at_store = False
        await new.follower._follow(identifiers.HostName('relay'))
        self.assertEqual(
            [watch.is_synced for watch in new.watches],
            [True, False],
        )

    async def test_a_host_that_just_started_reads_the_store_itself(
        self,
    ) -> None:
        relay = await self._start(Host(self.store))
        new = Host(self.store, relay='relay')
        new.others['relay'] = relay
        await new.follower._follow(
            identifiers.HostName('relay'),
            replaces_store=True,
        )
        self.assertFalse(new.watch.is_synced)
