"""Follows one table of the store."""

import asyncio
import dataclasses
import random
import typing

import logbook
from reactivex import subject

from egretstep import clock, errors
from egretstep.storage import spacing, tables

FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 0.8
STORE = 'the store'
_logger = logbook.Logger('store')

Rows = typing.Mapping[str, tables.Row]
Pause = typing.Callable[[Rows], float]


def pausing(shortest: float, for_each_row: float = 0) -> Pause:
    """Make a pause that grows with the rows, in seconds.

    In a large table more rows change a second, and more hosts ask.

    >>> pausing(0.5, for_each_row=0.1)({})
    0.5
    """
    return lambda rows: max(shortest, for_each_row * len(rows))


class TableWatch:
    """Keeps a copy of a table and publishes each change of it.

    Subscribers of `changes` get the rows as they are now, then again after
    every change. While `asks_store` is set the store is asked; after a
    change, the next question waits for the pause, so that changes in quick
    succession cost the fleet one call for each host. News may also be
    accepted from elsewhere, in any order, but not the first copy of a table
    that `starts_at_store`.
    """

    def __init__(
        self,
        *,
        store: tables.Tables,
        table: str,
        time_source: clock.Clock,
        pause: Pause | None = None,
        starts_at_store: bool = True,
    ) -> None:
        self._store = store
        self._table = table
        self._pause = pause or pausing(0)
        self._starts_at_store = starts_at_store
        self._clock = time_source
        self._spacing = spacing.Spacing(time_source=time_source)
        self._rows: dict[str, tables.Row] = {}
        self._dropped: dict[str, tables.Row] = {}
        self._version: int | None = None
        self._complete_since = 0
        self._confirmed_at = float('-inf')
        self._failing_since: float | None = None
        self._source = STORE
        self.asks_store = asyncio.Event()
        self.asks_store.set()
        self.changes: subject.BehaviorSubject[Rows] = subject.BehaviorSubject(
            {},
        )

    @property
    def table(self) -> str:
        """Return the name of the table."""
        return self._table

    @property
    def rows(self) -> Rows:
        """Return the rows by key as last heard."""
        return self._rows

    @property
    def version(self) -> int:
        """Return the version of the store up to which all is known."""
        return self._version or 0

    @property
    def source(self) -> str:
        """Return who told of the latest change."""
        return self._source

    @property
    def confirmed_at(self) -> float:
        """Return when the rows were last known to be the newest."""
        return self._confirmed_at

    @property
    def is_synced(self) -> bool:
        """Tell whether the table was read since this process started."""
        return self._version is not None

    @property
    def may_accept(self) -> bool:
        """Tell whether news from elsewhere are of use."""
        return self.is_synced or not self._starts_at_store

    @property
    def is_failing(self) -> bool:
        """Tell whether the store did not answer the last question."""
        return self._failing_since is not None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause = FIRST_RETRY_SECONDS
        while True:
            if self.may_accept:
                await self.asks_store.wait()
            try:
                await self._follow()
            except tables.HistoryGoneError:
                _logger.info(
                    'table {}: history is gone, reading it anew', self._table
                )
                self._version = None
            except errors.PlatformError as error:
                self._note_failure(error)
                await asyncio.sleep(pause * random.uniform(0.5, 1))
                pause = min(pause * 2, LONGEST_RETRY_SECONDS)
            else:
                pause = FIRST_RETRY_SECONDS
                self._note_success()

    def accept(
        self,
        news: tables.Snapshot,
        *,
        confirmed_at: float,
        source: str = STORE,
    ) -> bool:
        """Take over what is later; returns whether any row changed.

        `confirmed_at` is when all that is newer was sure to be in the news.
        """
        changed = [row for row in news.rows if self._is_news(row)]
        if news.keys is not None and news.version >= self.version:
            changed += self._missing(news)
            self._complete_since = max(self._complete_since, news.version)
        for row in changed:
            self._put(row)
        is_first = self._version is None
        self._version = max(self.version, news.version)
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        if changed or is_first:
            self._source = source
            self.changes.on_next(dict(self._rows))
        return bool(changed)

    def since(self, version: int) -> tables.Snapshot:
        """Return what changed after a version, for another host."""
        if not self.is_synced or self.version <= version:
            return self.nothing_new()
        changed = (*self._rows.values(), *self._dropped.values())
        rows = tuple(row for row in changed if row.version > version)
        is_complete = version >= self._complete_since
        return tables.Snapshot(
            rows=rows,
            version=self.version,
            keys=None if is_complete else frozenset(self._rows),
        )

    def nothing_new(self) -> tables.Snapshot:
        """Return that no row has changed."""
        return tables.Snapshot(rows=(), version=self.version)

    def start_with(self, whole: tables.Snapshot) -> None:
        """Begin with a copy that was just read from the store."""
        keys = frozenset(row.key for row in whole.rows)
        self.accept(
            dataclasses.replace(whole, keys=keys),
            confirmed_at=self._clock.now(),
        )

    async def confirm(self) -> None:
        """Ask the store at once whether anything is newer.

        Raises `errors.PlatformError` when no answer comes.
        """
        if not self.is_synced:
            return
        news = await self._store.changes(
            self._table,
            self.version,
            longest_wait=0,
        )
        self.accept(news, confirmed_at=self._clock.now())
        self._note_success()

    async def _follow(self) -> None:
        if self._version is None:
            self.start_with(await self._store.read(self._table))
            return
        news = await self._store.changes(self._table, self._version)
        if self.accept(news, confirmed_at=self._clock.now()):
            base = self._pause(self._rows)
            await asyncio.sleep(self._spacing.next_pause(base))

    def _is_news(self, row: tables.Row) -> bool:
        known = self._rows.get(row.key) or self._dropped.get(row.key)
        return known is None or known.version < row.version

    def _missing(self, news: tables.Snapshot) -> list[tables.Row]:
        """Return the rows that the news shows to be dropped."""
        return [
            tables.Row(
                key=row.key,
                content=b'',
                version=news.version,
                is_deleted=True,
            )
            for row in self._rows.values()
            if row.version <= news.version
            and row.key not in typing.cast(frozenset[str], news.keys)
        ]

    def _put(self, row: tables.Row) -> None:
        if row.is_deleted:
            self._rows.pop(row.key, None)
            self._dropped[row.key] = row
        else:
            self._dropped.pop(row.key, None)
            self._rows[row.key] = row

    def _note_failure(self, error: errors.PlatformError) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.now()
            _logger.warning('lost table {}: {}', self._table, error)

    def _note_success(self) -> None:
        if self._failing_since is not None:
            lost = self._clock.now() - self._failing_since
            _logger.info('regained table {} after {:.1f} s', self._table, lost)
            self._failing_since = None
