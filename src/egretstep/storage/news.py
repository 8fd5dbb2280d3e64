"""News of the store's tables, passed from host to host.

`NewsDesk` answers the hosts that ask this one; `NewsFollower` asks another
host in place of the store. News carry their age: the time since the store
last told that there was nothing newer. News that are too old are not
believed, so that a chain of hosts is never further behind than that.
"""

import asyncio
import contextlib
import dataclasses
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.storage import tables, watching

CHOICE_SECONDS = 0.2
USELESS_PAUSE_SECONDS = 0.3
# A fleet's hosts together ask this often, when none knows a good source.
USELESS_PAUSE_FOR_EACH_HOST_SECONDS = 0.005
CONFIRM_SECONDS = 0.5
OLDEST_NEWS_WAITS = 2
# What is not known at all is as old as this.
OLDEST_SECONDS = 3600.0
_logger = logbook.Logger('news')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class News:
    """What changed in some tables, and how many seconds ago that was sure."""

    age: float
    tables: typing.Mapping[str, tables.Snapshot]


class Source(typing.Protocol):
    """Chooses whom to ask; none of the hosts means the store itself."""

    def relay(self) -> identifiers.HostName | None:
        """Return the host whose news replace this host's own questions."""

    def any_host(self) -> identifiers.HostName | None:
        """Return some host to ask while the store does not answer."""

    def pass_over(self, host: identifiers.HostName) -> None:
        """Ask others for a while, since a host could not vouch for its news."""


Versions = typing.Mapping[str, int]
Ask = typing.Callable[
    [identifiers.HostName, Versions],
    typing.Awaitable[News | None],
]


class NewsDesk:
    """Tells other hosts what this one has heard.

    The first of the tables is the one whose age is told. `wait` is how long
    a question may stay open, in seconds.
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
        """Return the seconds since this host's news were the newest."""
        age = self._clock.now() - self._watches[0].confirmed_at
        return min(age, OLDEST_SECONDS)

    async def news(self, known: Versions) -> News:
        """Return what is later than the known versions, as soon as it is."""
        deadline = self._clock.now() + self._wait
        found = self._collect(known)
        while not self._is_answer(found) and self._clock.now() < deadline:
            await self._change(deadline)
            found = self._collect(known)
        if self.age > self._wait:
            await self._confirm()
        return News(age=self.age, tables=found)

    def _is_answer(self, found: dict[str, tables.Snapshot]) -> bool:
        """Tell whether an answer is of use; a host that starts has none yet."""
        return bool(found) and self._watches[0].is_synced

    def _collect(self, known: Versions) -> dict[str, tables.Snapshot]:
        found = {}
        for watch in self._watches:
            version = known.get(watch.table)
            if version is None:
                continue
            changed = watch.since(version)
            if changed.rows or changed.keys is not None:
                found[watch.table] = changed
        return found

    async def _change(self, deadline: float) -> None:
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
        """Ask the store whether there is anything newer, once for all."""
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.ensure_future(self._ask_store())
        await asyncio.shield(self._confirming)

    async def _ask_store(self) -> None:
        watch = self._watches[0]
        try:
            async with asyncio.timeout(CONFIRM_SECONDS):
                await watch.confirm()
        except (errors.PlatformError, TimeoutError) as error:
            _logger.info('news of {} are not sure: {!r}', watch.table, error)


class NewsFollower:
    """Follows another host's news while that is better than to ask the store.

    The watches ask nobody until `first_choice_after` seconds have passed.
    `store_answers` tells whether the store answers this host otherwise.
    """

    def __init__(
        self,
        *,
        watches: typing.Sequence[watching.TableWatch],
        source: Source,
        ask: Ask,
        wait: float,
        store_answers: typing.Callable[[], bool],
        fleet_size: typing.Callable[[], int],
        first_choice_after: float,
        time_source: clock.Clock,
    ) -> None:
        self._first_choice_after = first_choice_after
        self._watches = {watch.table: watch for watch in watches}
        self._source = source
        self._ask = ask
        self._oldest = OLDEST_NEWS_WAITS * wait
        self._store_answers = store_answers
        self._fleet_size = fleet_size
        self._clock = time_source
        self._host: identifiers.HostName | None = None
        for watch in watches:
            watch.asks_store.clear()

    @property
    def host(self) -> identifiers.HostName | None:
        """Return the host that this one hears of changes from."""
        return self._host

    async def run(self) -> None:
        """Ask other hosts, or let the watches ask the store, until cancelled."""
        await asyncio.sleep(self._first_choice_after)
        while True:
            relay = self._source.relay()
            if relay:
                await self._follow(relay, replaces_store=True)
                continue
            if self._is_cut_off():
                await self._follow(self._source.any_host())
                continue
            self._note(None)
            await asyncio.sleep(CHOICE_SECONDS)

    def _is_cut_off(self) -> bool:
        watches = self._watches.values()
        is_failing = any(watch.is_failing for watch in watches)
        return is_failing or not self._store_answers()

    async def _follow(
        self,
        host: identifiers.HostName | None,
        *,
        replaces_store: bool = False,
    ) -> None:
        """Ask one host once; it answers when something changes."""
        news = await self._ask_host(host) if host else None
        if host is None or news is None or news.age > self._oldest:
            await self._pass_over(host)
            return
        self._note(host if replaces_store else None)
        confirmed_at = self._clock.now() - news.age
        for table, watch in self._watches.items():
            changed = news.tables.get(table)
            if changed is None and watch.is_synced:
                changed = watch.nothing_new()
            if changed is not None and watch.may_accept:
                watch.accept(changed, confirmed_at=confirmed_at, source=host)

    async def _ask_host(self, host: identifiers.HostName) -> News | None:
        known = {
            table: watch.version
            for table, watch in self._watches.items()
            if watch.may_accept
        }
        return await self._ask(host, known)

    async def _pass_over(self, host: identifiers.HostName | None) -> None:
        if host is not None:
            self._source.pass_over(host)
        if self._source.relay() is not None:
            return
        self._note(None)
        pause = max(
            USELESS_PAUSE_SECONDS,
            USELESS_PAUSE_FOR_EACH_HOST_SECONDS * self._fleet_size(),
        )
        await asyncio.sleep(pause)

    def _note(self, host: identifiers.HostName | None) -> None:
        """Remember who is asked; without a host, the store is."""
        if host != self._host:
            _logger.info('news come from {}', host or 'the store')
        self._host = host
        for watch in self._watches.values():
            if host is None:
                watch.asks_store.set()
            else:
                watch.asks_store.clear()
