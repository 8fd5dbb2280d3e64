"""Reads the change feed of another host instead of asking the store."""

import asyncio
import typing

import logbook

from egretstep import clock, identifiers
from egretstep.observability import metrics
from egretstep.storage import change_feed, watching

SOURCE_CHECK_SECONDS = 0.2
# Without a usable source, each host asks another one after this pause. A host
# that has none either replies at once.
NO_SOURCE_PAUSE_SECONDS = 0.3
_logger = logbook.Logger('change-feed')

PollHost = typing.Callable[
    [identifiers.HostName, change_feed.Versions],
    typing.Awaitable[change_feed.FeedUpdate | None],
]


class FeedSource(typing.Protocol):
    """Chooses the host whose feed this host reads."""

    def relay(self) -> identifiers.HostName | None:
        """Return the host to follow instead of the store, or None."""

    def any_host(self) -> identifiers.HostName | None:
        """Return a host to ask while the store does not answer, or None."""

    def avoid(self, host: identifiers.HostName) -> None:
        """Avoid a host for a while: it gave no answer, or too old a one."""


class FeedFollower:
    """Follows the change feed of another host instead of the store.

    It does so while `source` names a relay, or while the store does not
    answer this host. The watches stay idle for the first `start_delay`
    seconds. `store_answers` tells whether the store answers this host's other
    calls. Once the first of `watches` is older than an answer of another host
    may be, the store is followed and other hosts are asked, until one of them
    answers.
    """

    def __init__(
        self,
        *,
        watches: typing.Sequence[watching.TableWatch],
        source: FeedSource,
        poll_host: PollHost,
        wait: float,
        store_answers: typing.Callable[[], bool],
        start_delay: float,
        time_source: clock.Clock,
    ) -> None:
        self._start_delay = start_delay
        self._watches = {watch.table: watch for watch in watches}
        self._first_watch = watches[0]
        self._source = source
        self._poll_host = poll_host
        self._max_age = change_feed.MAX_AGE_WAITS * wait
        self._store_answers = store_answers
        self._clock = time_source
        self._host: identifiers.HostName | None = None
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
            if relay and not self._is_outdated():
                await self._follow_host(relay, replaces_store=True)
                continue
            if self._is_outdated() or self._store_is_unreachable():
                await self._follow_host(self._source.any_host())
                continue
            self._set_source_host(None)
            await asyncio.sleep(SOURCE_CHECK_SECONDS)

    def _is_outdated(self) -> bool:
        """Return whether there is no time to wait for one source alone.

        The store is followed then, and any other host is asked beside it.
        """
        watch = self._first_watch
        return watch.is_synced and watch.age > self._max_age

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
        update = await self._request_recent_changes(host) if host else None
        if host is None or update is None:
            await self._avoid(host, is_relay=replaces_store)
            return
        self._set_source_host(host if replaces_store else None)
        confirmed_at = self._clock.now() - update.age
        for table, watch in self._watches.items():
            changed = update.tables.get(table)
            if changed is None and watch.is_synced:
                changed = watch.no_changes()
            if changed is not None and watch.accepts_changes:
                watch.accept(changed, confirmed_at=confirmed_at, source=host)

    async def _request_recent_changes(
        self, host: identifiers.HostName
    ) -> change_feed.FeedUpdate | None:
        """Return a host's changes, None if it gives none that are of use."""
        update = await self._request_changes(host)
        if update is None:
            metrics.feed_failures.inc('no_answer')
            return None
        if self._is_recent(update):
            return update
        metrics.feed_failures.inc('outdated')
        _logger.info(
            'changes of tables from {} are refused: they are {:.1f} s old '
            '(allowed: {:.1f} s) and of era {}; another source is asked',
            host,
            update.age,
            self._max_age,
            update.era,
        )
        return None

    def _is_recent(self, update: change_feed.FeedUpdate) -> bool:
        """Return whether an update is recent and of no earlier era."""
        known_era = change_feed.latest_era(self._watches.values())
        return update.age < self._max_age and update.era >= known_era

    async def _request_changes(
        self, host: identifiers.HostName
    ) -> change_feed.FeedUpdate | None:
        known = {
            table: watch.version
            for table, watch in self._watches.items()
            if watch.accepts_changes
        }
        return await self._poll_host(host, known)

    async def _avoid(
        self, host: identifiers.HostName | None, *, is_relay: bool
    ) -> None:
        """Avoid a host; pause unless another one is to be asked at once."""
        if host is not None:
            self._source.avoid(host)
        if self._source.relay() is not None and not self._is_outdated():
            return
        self._set_source_host(None)
        if not is_relay or not self._is_outdated():
            await asyncio.sleep(NO_SOURCE_PAUSE_SECONDS)

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
