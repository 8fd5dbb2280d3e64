"""Change feed of the store's tables, which a host serves to other hosts.

Each answer of the feed carries its age: the time since the store last
confirmed that nothing newer existed. A host rejects answers that are too old,
which bounds how far a chain of hosts can fall behind the store. The module
`feed_follower` reads the feed of another host.
"""

import asyncio
import contextlib
import dataclasses
import typing

import logbook

from egretstep import clock, errors
from egretstep.storage import tables, watching

CONFIRM_TIMEOUT_SECONDS = 0.5
REPLY_ALLOWANCE_SECONDS = 0.4
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


Versions = typing.Mapping[str, tables.Version]


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
            era=latest_era(self._watches),
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


def poll_timeout(wait: float) -> float:
    """Return how long to wait for the answer to a poll, in seconds.

    `wait` is how long the feed waits for changes.

    >>> poll_timeout(1.0)
    1.9
    """
    return wait + CONFIRM_TIMEOUT_SECONDS + REPLY_ALLOWANCE_SECONDS


def latest_era(watches: typing.Iterable[watching.TableWatch]) -> int:
    """Return the latest era of the store that one of the copies is from."""
    return max(watch.version.era for watch in watches)
