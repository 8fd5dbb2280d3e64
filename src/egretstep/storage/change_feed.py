"""Change feed of the store's tables between the hosts of a fleet.

`FeedServer` serves the feed to other hosts; `FeedFollower` reads the feed of
another host instead of asking the store. Each answer of the feed carries its
age: the time since the store last confirmed that nothing newer existed. A
host rejects answers that are too old, which bounds how far a chain of hosts
can fall behind the store.
"""

import asyncio
import contextlib
import dataclasses
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.storage import tables, watching

SOURCE_CHECK_SECONDS = 0.2
NO_SOURCE_PAUSE_SECONDS = 0.3
# Without a usable source for long, all hosts together send one request in this
# time. The pause of each doubles up to that.
NO_SOURCE_PAUSE_PER_HOST_SECONDS = 0.005
CONFIRM_TIMEOUT_SECONDS = 0.5
CONFIRM_AGE_WAITS = 1.5
MAX_AGE_WAITS = 2
# Age of a table that was never confirmed, and the highest age reported.
UNKNOWN_AGE_SECONDS = 3600.0
_logger = logbook.Logger('change-feed')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FeedUpdate:
    """Changes of some tables.

    `age` is the number of seconds since the store confirmed that there was
    nothing newer. `era` is the latest era of the store that the host knows;
    after a restore it may still have some of its tables to read again.
    """

    age: float
    era: int
    tables: typing.Mapping[str, tables.Snapshot]


class FeedSource(typing.Protocol):
    """Chooses the host whose feed this host reads."""

    def relay(self) -> identifiers.HostName | None:
        """Return the host to follow instead of the store, or None."""

    def any_host(self) -> identifiers.HostName | None:
        """Return a host to ask while the store does not answer, or None."""

    def avoid(self, host: identifiers.HostName) -> None:
        """Avoid a host for a while: it gave no answer, or too old a one."""


Versions = typing.Mapping[str, tables.Version]
PollHost = typing.Callable[
    [identifiers.HostName, Versions],
    typing.Awaitable[FeedUpdate | None],
]


class FeedServer:
    """Serves the change feed of this host to other hosts by long polling.

    The age of an answer is that of the first table in `watches`. A request
    waits for changes for at most `wait` seconds.
    """

    def __init__(
        self,
        *,
        watches: typing.Sequence[watching.TableWatch],
        wait: float,
        time_source: clock.Clock,
    ) -> None:
        self._watches = watches
        self._wait = wait
        self._clock = time_source
        self._waiting: set[asyncio.Future[None]] = set()
        self._confirming: asyncio.Task[None] | None = None
        for watch in watches:
            watch.changes.subscribe(self._wake)

    @property
    def age(self) -> float:
        """Return the seconds since the store confirmed the first table."""
        age = self._clock.now() - self._watches[0].confirmed_at
        return min(age, UNKNOWN_AGE_SECONDS)

    async def poll(self, known: Versions) -> FeedUpdate:
        """Return the changes after the known versions of tables.

        Waits until there are any, for at most the feed's `wait`. Tables that
        are not in `known` are left out.
        """
        deadline = self._clock.now() + self._longest_wait()
        found = self._collect(known)
        while not self._has_answer(found) and self._clock.now() < deadline:
            await self._wait_for_change(deadline)
            found = self._collect(known)
        if self.age > CONFIRM_AGE_WAITS * self._wait:
            await self._confirm()
        return FeedUpdate(
            age=self.age,
            era=_latest_era(self._watches),
            tables=found,
        )

    def _longest_wait(self) -> float:
        """Return how long a request may wait for changes, in seconds.

        While the store does not answer this host, it answers before the age
        makes its answer useless, so that the other host asks elsewhere.
        """
        if not self._watches[0].is_failing:
            return self._wait
        return min(self._wait, max(0.0, MAX_AGE_WAITS * self._wait - self.age))

    def _has_answer(self, found: dict[str, tables.Snapshot]) -> bool:
        """Tell whether there are changes to answer with.

        A host that is starting does not answer before it has read the first
        table.
        """
        return bool(found) and self._watches[0].is_synced

    def _collect(self, known: Versions) -> dict[str, tables.Snapshot]:
        found = {}
        for watch in self._watches:
            version = known.get(watch.table)
            if version is None:
                continue
            changed = watch.changes_since(version)
            if changed.rows or changed.keys is not None:
                found[watch.table] = changed
        return found

    async def _wait_for_change(self, deadline: float) -> None:
        waiting = asyncio.get_running_loop().create_future()
        self._waiting.add(waiting)
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(deadline - self._clock.now()):
                    await waiting
        finally:
            self._waiting.discard(waiting)

    def _wake(self, _rows: watching.Rows) -> None:
        for waiting in self._waiting:
            if not waiting.done():
                waiting.set_result(None)

    async def _confirm(self) -> None:
        """Ask the store for newer changes, if it answers this host.

        Concurrent requests share a call.
        """
        if self._watches[0].is_failing:
            return
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.ensure_future(self._ask_store())
        await asyncio.shield(self._confirming)

    async def _ask_store(self) -> None:
        watch = self._watches[0]
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_SECONDS):
                await watch.confirm()
        except (errors.PlatformError, TimeoutError) as error:
            _logger.info(
                'the store did not confirm that table {} is current, so that its '
                'age grows: {!r}',
                watch.table,
                error,
            )


class FeedFollower:
    """Follows the change feed of another host instead of the store.

    It does so while `source` names a relay, or while the store does not
    answer this host. The watches stay idle for the first `start_delay`
    seconds. `store_answers` tells whether the store answers this host's other
    calls.
    """

    def __init__(
        self,
        *,
        watches: typing.Sequence[watching.TableWatch],
        source: FeedSource,
        poll_host: PollHost,
        wait: float,
        store_answers: typing.Callable[[], bool],
        fleet_size: typing.Callable[[], int],
        start_delay: float,
        time_source: clock.Clock,
    ) -> None:
        self._start_delay = start_delay
        self._watches = {watch.table: watch for watch in watches}
        self._source = source
        self._poll_host = poll_host
        self._max_age = MAX_AGE_WAITS * wait
        self._store_answers = store_answers
        self._fleet_size = fleet_size
        self._clock = time_source
        self._host: identifiers.HostName | None = None
        self._no_source_pause = NO_SOURCE_PAUSE_SECONDS
        for watch in watches:
            watch.follows_store.clear()

    @property
    def host(self) -> identifiers.HostName | None:
        """Return the host that is followed, or None if the store is."""
        return self._host

    async def run(self) -> None:
        """Follow a host, or let the watches follow the store."""
        await asyncio.sleep(self._start_delay)
        while True:
            relay = self._source.relay()
            if relay:
                await self._follow_host(relay, replaces_store=True)
                continue
            if self._store_is_unreachable():
                await self._follow_host(self._source.any_host())
                continue
            self._set_source_host(None)
            await asyncio.sleep(SOURCE_CHECK_SECONDS)

    def _store_is_unreachable(self) -> bool:
        watches = self._watches.values()
        is_failing = any(watch.is_failing for watch in watches)
        return is_failing or not self._store_answers()

    async def _follow_host(
        self,
        host: identifiers.HostName | None,
        *,
        replaces_store: bool = False,
    ) -> None:
        """Make one long poll to a host and apply its answer.

        With `replaces_store`, the watches stop following the store.
        """
        update = await self._request_changes(host) if host else None
        if host is None or update is None or not self._is_recent(update):
            await self._avoid(host)
            return
        self._set_source_host(host if replaces_store else None)
        self._no_source_pause = NO_SOURCE_PAUSE_SECONDS
        confirmed_at = self._clock.now() - update.age
        for table, watch in self._watches.items():
            changed = update.tables.get(table)
            if changed is None and watch.is_synced:
                changed = watch.no_changes()
            if changed is not None and watch.accepts_changes:
                watch.accept(changed, confirmed_at=confirmed_at, source=host)

    def _is_recent(self, update: FeedUpdate) -> bool:
        """Return whether an update is recent and of no earlier era."""
        known_era = _latest_era(self._watches.values())
        return update.age < self._max_age and update.era >= known_era

    async def _request_changes(
        self, host: identifiers.HostName
    ) -> FeedUpdate | None:
        known = {
            table: watch.version
            for table, watch in self._watches.items()
            if watch.accepts_changes
        }
        return await self._poll_host(host, known)

    async def _avoid(self, host: identifiers.HostName | None) -> None:
        """Avoid a host; without another relay, follow the store and pause."""
        if host is not None:
            self._source.avoid(host)
        if self._source.relay() is not None:
            return
        self._set_source_host(None)
        await asyncio.sleep(self._no_source_pause)
        longest = NO_SOURCE_PAUSE_PER_HOST_SECONDS * self._fleet_size()
        self._no_source_pause = max(
            NO_SOURCE_PAUSE_SECONDS, min(longest, 2 * self._no_source_pause)
        )

    def _set_source_host(self, host: identifiers.HostName | None) -> None:
        """Follow a host, or the store if it is None."""
        if host != self._host:
            _logger.info(
                'changes of tables now come from {}', host or 'the store'
            )
        self._host = host
        for watch in self._watches.values():
            if host is None:
                watch.follows_store.set()
            else:
                watch.follows_store.clear()


def _latest_era(watches: typing.Iterable[watching.TableWatch]) -> int:
    return max(watch.version.era for watch in watches)
