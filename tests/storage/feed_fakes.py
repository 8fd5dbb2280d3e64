"""Fakes for tests of the change feed: a store, a source and a host."""

import asyncio
import contextlib
import typing

from egretstep import clock, errors, identifiers
from egretstep.storage import change_feed, feed_follower, tables, watching
from tests import platform_fakes

TABLE = 'op'
OTHER_TABLE = 'servers'
WAIT_SECONDS = 0.1


class FakeStore:
    """A store whose change feed answers as soon as a row changes."""

    def __init__(self) -> None:
        self.calls = 0
        self.is_down = False
        self.rows: dict[str, tables.Row] = {}
        self.version = platform_fakes.version(1)
        self._changed = asyncio.Event()

    def put(self, key: str, content: bytes | None = b'x') -> None:
        number = self.version.number + 1
        self.version = self.version._replace(number=number)
        self.rows[key] = tables.Row(
            key=key,
            content=content or b'',
            version=self.version,
            is_deleted=content is None,
        )
        self._changed.set()
        self._changed = asyncio.Event()

    def restore(self, keys: set[str]) -> None:
        """Begin a new era with rows of these keys and a lower version."""
        era = self.version.era + 1
        self.version = platform_fakes.version(1, era=era)
        self.rows = {}
        for key in keys:
            self.put(key)

    async def read(self, _table: str, _prefix: str = '') -> tables.Snapshot:
        self._call()
        rows = tuple(row for row in self.rows.values() if not row.is_deleted)
        return tables.Snapshot(rows=rows, version=self.version)

    async def changes(
        self,
        _table: str,
        after: tables.Version,
        *,
        longest_wait: float = tables.LONGEST_WAIT_SECONDS,
    ) -> tables.Snapshot:
        self._call()
        if longest_wait and self.version <= after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), longest_wait)
        self._check()
        if self.version.era != after.era:
            raise tables.HistoryGoneError(f'after {after}')
        rows = tuple(row for row in self.rows.values() if row.version > after)
        return tables.Snapshot(rows=rows, version=self.version)

    def _call(self) -> None:
        self.calls += 1
        self._check()

    def _check(self) -> None:
        if self.is_down:
            raise errors.PlatformError('the store is down')


class FakeSource:
    """Source that returns the hosts that the test sets."""

    def __init__(self, relay: str | None) -> None:
        self.relay_host = relay
        self.other_host: str | None = None
        self.passed_over: list[str] = []

    def relay(self) -> typing.Any:
        return None if self.relay_host in self.passed_over else self.relay_host

    def any_host(self) -> typing.Any:
        return self.other_host

    def avoid(self, host: identifiers.HostName) -> None:
        self.passed_over.append(host)


class Host:
    """The watches, feed server and feed follower of one host."""

    def __init__(self, store: FakeStore, relay: str | None = None) -> None:
        self.clock = clock.MonotonicClock()
        self.watches = [
            watching.TableWatch(
                store=typing.cast(tables.Tables, store),
                table=table,
                time_source=self.clock,
            )
            for table in (TABLE, OTHER_TABLE)
        ]
        self.watch = self.watches[0]
        self.feed_server = change_feed.FeedServer(
            watches=self.watches,
            wait=WAIT_SECONDS,
            time_source=self.clock,
        )
        self.fake_source = FakeSource(relay)
        self.others: dict[str, Host] = {}
        self.store_answers = True
        self.follower = feed_follower.FeedFollower(
            watches=self.watches,
            source=self.fake_source,
            poll_host=self._poll_host,
            wait=WAIT_SECONDS,
            store_answers=lambda: self.store_answers,
            start_delay=0,
            time_source=self.clock,
        )

    @property
    def keys(self) -> set[str]:
        return set(self.watch.rows)

    async def _poll_host(
        self,
        host: identifiers.HostName,
        known: change_feed.Versions,
    ) -> change_feed.FeedUpdate | None:
        other_host = self.others.get(host)
        return await other_host.feed_server.poll(known) if other_host else None
