"""Local copy of one table of the store, kept up to date."""

import asyncio
import dataclasses
import random
import typing

import logbook
from reactivex import subject

from egretstep import clock, errors
from egretstep.storage import poll_backoff, tables

FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.8
WHOLE_READ_SPREAD_SECONDS = 0.1
STORE_SOURCE = 'the store'
_logger = logbook.Logger('store')

Rows = typing.Mapping[str, tables.Row]
Pause = typing.Callable[[Rows], float]


def pause_by_rows(shortest: float, for_each_row: float = 0) -> Pause:
    """Return a function that computes the pause after a change, in seconds.

    The pause grows with the number of rows: in a larger table more rows
    change per second, and more hosts poll it.

    >>> pause_by_rows(0.5, for_each_row=0.1)({})
    0.5
    """
    return lambda rows: max(shortest, for_each_row * len(rows))


class TableWatch:
    """Keeps a copy of a table and publishes its changes.

    Subscribers of `changes` get the current rows, and all rows again after
    every change. While `follows_store` is set, the watch follows the store.
    After a change it waits for the pause before it reads the next one, so that
    changes in quick succession cost the fleet one call per host.

    A store that gives this host no answer looks like one without changes
    until a poll times out, so `longest_wait`, in seconds, bounds how long that
    stays unnoticed.

    Changes may also come from other hosts, in any order. A table with
    `requires_store_read` accepts them only after a first read from the store.

    After a restore of the store, the whole table is read again. All its rows
    then have versions of a later era and replace the known ones, and rows that
    it lacks are gone. What a row says may still be older than what was known;
    subscribers decide on that.
    """

    def __init__(
        self,
        *,
        store: tables.Tables,
        table: str,
        time_source: clock.Clock,
        pause: Pause | None = None,
        longest_wait: float = tables.LONGEST_WAIT_SECONDS,
        requires_store_read: bool = True,
    ) -> None:
        self._store = store
        self._table = table
        self._pause = pause or pause_by_rows(0)
        self._longest_wait = longest_wait
        self._requires_store_read = requires_store_read
        self._clock = time_source
        self._backoff = poll_backoff.PollBackoff(time_source=time_source)
        self._rows: dict[str, tables.Row] = {}
        self._deleted_rows: dict[str, tables.Row] = {}
        self._version: tables.Version | None = None
        self._must_read_whole = True
        self._is_poll_ended = False
        self._history_start = tables.NO_VERSION
        self._confirmed_at = float('-inf')
        self._unconfirmed_seconds = float('inf')
        self._failing_since: float | None = None
        self._source = STORE_SOURCE
        self.follows_store = asyncio.Event()
        self.follows_store.set()
        self.changes: subject.BehaviorSubject[Rows] = subject.BehaviorSubject(
            {},
        )

    @property
    def table(self) -> str:
        """Return the name of the table."""
        return self._table

    @property
    def rows(self) -> Rows:
        """Return the latest known rows by key."""
        return self._rows

    @property
    def version(self) -> tables.Version:
        """Return the store version up to which all changes are known."""
        return self._version or tables.NO_VERSION

    @property
    def source(self) -> str:
        """Return the host that sent the latest change, or the store."""
        return self._source

    @property
    def confirmed_at(self) -> float:
        """Return the monotonic time at which the rows were last confirmed."""
        return self._confirmed_at

    @property
    def age(self) -> float:
        """Return the seconds since the rows were last confirmed."""
        return self._clock.now() - self._confirmed_at

    @property
    def unconfirmed_seconds(self) -> float:
        """Return how old the former rows were when the current ones arrived.

        It is infinite for the first rows.
        """
        return self._unconfirmed_seconds

    @property
    def is_synced(self) -> bool:
        """Tell whether the table was read at least once by this process."""
        return self._version is not None

    @property
    def accepts_changes(self) -> bool:
        """Tell whether changes from other hosts may be accepted."""
        return self.is_synced or not self._requires_store_read

    @property
    def is_failing(self) -> bool:
        """Tell whether the last call to the store failed."""
        return self._failing_since is not None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause = FIRST_RETRY_SECONDS
        while True:
            if self.accepts_changes:
                await self.follows_store.wait()
            try:
                await self._fetch_changes()
            except tables.HistoryGoneError:
                _logger.info(
                    'the store no longer has the changes of table {} since '
                    'version {}; reading the whole table',
                    self._table,
                    self._version,
                )
                self._must_read_whole = True
                # Many hosts find the history gone at the same moment.
                await asyncio.sleep(
                    random.uniform(0, WHOLE_READ_SPREAD_SECONDS)
                )
            except tables.PollEndedError as error:
                self._is_poll_ended = True
                _logger.info('table {} is polled again: {}', self._table, error)
            except errors.PlatformError as error:
                self._record_failure(error)
                await asyncio.sleep(pause * random.uniform(0.5, 1))
                pause = min(pause * 2, MAX_RETRY_SECONDS)
            else:
                pause = FIRST_RETRY_SECONDS
                self._record_success()

    def accept(
        self,
        snapshot: tables.Snapshot,
        *,
        confirmed_at: float,
        source: str = STORE_SOURCE,
    ) -> bool:
        """Apply the newer rows of `snapshot`; return whether any row changed.

        At the time `confirmed_at`, `snapshot` held all changes of the store.
        """
        changed = [row for row in snapshot.rows if self._is_newer(row)]
        if snapshot.keys is not None and snapshot.version >= self.version:
            changed += self._find_deleted(snapshot)
            self._history_start = max(self._history_start, snapshot.version)
            self._must_read_whole = False
        for row in changed:
            self._put(row)
        is_first = self._version is None
        self._version = max(self.version, snapshot.version)
        if changed or is_first:
            self._unconfirmed_seconds = self.age
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        if changed or is_first:
            self._source = source
            self.changes.on_next(dict(self._rows))
        return bool(changed)

    def changes_since(self, version: tables.Version) -> tables.Snapshot:
        """Return the changes after a version, for another host."""
        if not self.is_synced or self.version <= version:
            return self.no_changes()
        changed = (*self._rows.values(), *self._deleted_rows.values())
        rows = tuple(row for row in changed if row.version > version)
        is_complete = version >= self._history_start
        return tables.Snapshot(
            rows=rows,
            version=self.version,
            keys=None if is_complete else frozenset(self._rows),
        )

    def no_changes(self) -> tables.Snapshot:
        """Return a snapshot without changes."""
        return tables.Snapshot(rows=(), version=self.version)

    def load(self, whole: tables.Snapshot) -> None:
        """Start with all rows of the table, as just read from the store."""
        keys = frozenset(row.key for row in whole.rows)
        older = sum(not self._is_newer(row) for row in whole.rows)
        _logger.info(
            'table {} was read whole at version {} (known: {}): '
            '{} rows, {} of them not newer than the known ones',
            self._table,
            whole.version,
            self._version,
            len(whole.rows),
            older,
        )
        self.accept(
            dataclasses.replace(whole, keys=keys),
            confirmed_at=self._clock.now(),
        )

    async def confirm(self) -> None:
        """Fetch changes from the store without waiting for new ones.

        Raises `errors.PlatformError` if the store does not answer.
        """
        if not self.is_synced:
            return
        snapshot = await self._store.changes(
            self._table,
            self.version,
            longest_wait=0,
        )
        self.accept(snapshot, confirmed_at=self._clock.now())
        self._record_success()

    async def _fetch_changes(self) -> None:
        if self._version is None or self._must_read_whole:
            self.load(await self._store.read(self._table))
            return
        snapshot = await self._store.changes(
            self._table,
            self._version,
            longest_wait=self._next_wait(),
        )
        self._is_poll_ended = False
        if self.accept(snapshot, confirmed_at=self._clock.now()):
            base = self._pause(self._rows)
            await asyncio.sleep(self._backoff.next_pause(base))

    def _next_wait(self) -> float:
        """Return how long the store may wait for a change, in seconds.

        A store that comes back may have been restored, and may then wait for
        a version that means something else. Its first answer shows that. It
        also shows at once whether a store that was not followed for a while
        answers, and what a poll that was ended has missed.
        """
        if self._is_poll_ended or self.is_failing:
            return 0
        if self.age > self._longest_wait:
            return 0
        return self._longest_wait

    def _is_newer(self, row: tables.Row) -> bool:
        known = self._rows.get(row.key) or self._deleted_rows.get(row.key)
        return known is None or known.version < row.version

    def _find_deleted(self, snapshot: tables.Snapshot) -> list[tables.Row]:
        """Return, as deleted, the rows that a full list of keys leaves out."""
        return [
            tables.Row(
                key=row.key,
                content=b'',
                version=snapshot.version,
                is_deleted=True,
            )
            for row in self._rows.values()
            if row.version <= snapshot.version
            and row.key not in typing.cast(frozenset[str], snapshot.keys)
        ]

    def _put(self, row: tables.Row) -> None:
        if row.is_deleted:
            self._rows.pop(row.key, None)
            self._deleted_rows[row.key] = row
        else:
            self._deleted_rows.pop(row.key, None)
            self._rows[row.key] = row

    def _record_failure(self, error: errors.PlatformError) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.now()
            _logger.warning(
                'the store does not answer for table {}; '
                'its last known rows stay in use: {}',
                self._table,
                error,
            )

    def _record_success(self) -> None:
        if self._failing_since is not None:
            outage = self._clock.now() - self._failing_since
            _logger.info(
                'the store answers for table {} again after {:.1f} s',
                self._table,
                outage,
            )
            self._failing_since = None
