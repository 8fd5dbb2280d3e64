"""Ownership of one database by this host: claim, serve, fail over, give up.

The owner is who holds the group's term. Raising the term at a majority of
the servers makes them refuse everybody of an older term, so that a takeover
needs neither the old owner's cooperation nor the platform's store.
"""

import asyncio
import random
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.observability import metrics
from egretstep.replication import group, lease, pauses

CLAIM_PAUSE_SECONDS = 0.1
CLAIM_JITTER = (0.5, 1.5)
FIRST_LOSS_SECONDS = 0.1
MOST_LOSS_SECONDS = 3.0
POLL_SECONDS = 0.05
HANDOVER_WAIT_SECONDS = 9.0
HANDOVER_POLL_SECONDS = 0.01
MOVE_PAUSE_SECONDS = 5.0
MOVE_WAIT_SECONDS = 2.0
_logger = logbook.Logger('owner')

IsAlive = typing.Callable[[str], bool]
Preferred = typing.Callable[
    [],
    typing.Collection[identifiers.ServerName],
]


class Gate(typing.Protocol):
    """Holds new writes back while the primary is moved."""

    async def close(self, *, longest_wait: float) -> bool:
        """Hold writes back; tells whether the running ones have ended."""

    def open(self) -> None:
        """Let writes pass again."""


class DatabaseOwner:
    """Claims the term of one database and keeps a good primary in it."""

    def __init__(
        self,
        *,
        database_group: group.DatabaseGroup,
        host: str,
        is_alive: IsAlive,
        preferred: Preferred,
        on_serving: typing.Callable[[group.Tenure], None],
        write_gate: Gate,
        time_source: clock.Clock,
    ) -> None:
        self._group = database_group
        self._host = host
        self._is_alive = is_alive
        self._preferred = preferred
        self._on_serving = on_serving
        self._gate = write_gate
        self._clock = time_source
        self._handed_over = identifiers.NO_TERM
        self._retry_move_at = float('-inf')
        self._counting_since = float('-inf')
        self._is_failing = False
        self._losses = 0

    @property
    def counting_since(self) -> float:
        """Return when this host took over from another one.

        Tokens that another host gave before then are not known here, so that
        buckets are empty at that monotonic time. It is minus infinity for
        the first owner of all.
        """
        return self._counting_since

    def accept_handover(self, term: identifiers.Term) -> None:
        """Note that the old owner has released a term."""
        self._handed_over = max(self._handed_over, term)

    async def run(self) -> None:
        """Own the database until cancelled."""
        try:
            await self._wait_servers()
            while True:
                await self._pause_after_loss()
                await self._wait_old_owner()
                await self._take_over()
                await self._serve()
        finally:
            self._group.leave()

    async def _pause_after_loss(self) -> None:
        """Let the other host be, when two claim one database in turns."""
        if not self._group.lost.is_set():
            self._losses = 0
            return
        self._losses += 1
        longest = min(FIRST_LOSS_SECONDS * 2**self._losses, MOST_LOSS_SECONDS)
        await asyncio.sleep(longest * random.uniform(0.5, 1))

    async def _wait_servers(self) -> None:
        while not all(each.was_ever_asked for each in self._group.monitors):
            await asyncio.sleep(POLL_SECONDS)

    async def _wait_old_owner(self) -> None:
        """Give a living owner the time to hand over without a cut."""
        deadline = self._clock.now() + HANDOVER_WAIT_SECONDS
        while self._clock.now() < deadline:
            term, owner = self._group.promised()
            if not owner or owner == self._host or not self._is_alive(owner):
                return
            if self._handed_over >= term:
                return
            await asyncio.sleep(HANDOVER_POLL_SECONDS)

    async def _take_over(self) -> None:
        started = self._clock.now()
        while True:
            term, owner = self._group.promised()
            try:
                tenure, fenced_at = await self._group.claim(
                    preferred=self._preferred(),
                )
            except errors.DatabaseServerError as error:
                self._log_failure(str(error))
                await asyncio.sleep(
                    CLAIM_PAUSE_SECONDS * random.uniform(*CLAIM_JITTER),
                )
                continue
            if owner not in {'', self._host} and self._handed_over < term:
                await self._wait_old_lease(fenced_at)
            if owner not in {'', self._host}:
                self._counting_since = self._clock.now()
            break
        self._is_failing = False
        self._group.enter(tenure)
        self._gate.open()
        self._on_serving(tenure)
        took = self._clock.now() - started
        metrics.failover_seconds.observe(
            {'database': self._group.database},
            took,
        )
        _logger.info(
            '{}: serving term {} with primary {} after {:.3f} s',
            self._group.database,
            tenure.term,
            tenure.primary,
            took,
        )

    def _log_failure(self, reason: str) -> None:
        if not self._is_failing:
            self._is_failing = True
            _logger.warning('claim failed, trying on: {}', reason)

    async def _wait_old_lease(self, fenced_at: float) -> None:
        remaining = fenced_at + lease.LEASE_SECONDS - self._clock.now()
        await asyncio.sleep(max(0.0, remaining))

    async def _serve(self) -> None:
        """Return when another term is needed."""
        watch = pauses.PauseWatch(time_source=self._clock)
        while not self._group.lost.is_set():
            if watch.was_paused():
                await asyncio.sleep(pauses.REFRESH_SECONDS)
                watch.restart()
                continue
            if not self._group.is_primary_up():
                _logger.warning('{}: primary lost', self._group.database)
                return
            if self._should_move() and await self._prepare_move():
                return
            watch.restart()
            await asyncio.sleep(POLL_SECONDS)

    def _should_move(self) -> bool:
        """Tell whether settings want the primary on another server now."""
        tenure = self._group.tenure
        preferred = self._preferred()
        if tenure is None or not preferred or tenure.primary in preferred:
            return False
        if self._clock.now() < self._retry_move_at:
            return False
        return any(self._group.monitor_of(name).is_up for name in preferred)

    async def _prepare_move(self) -> bool:
        """Let writes end and a preferred server catch up.

        Without both in time the move is put off, so that it cuts nothing.
        """
        self._retry_move_at = self._clock.now() + MOVE_PAUSE_SECONDS
        is_drained = await self._gate.close(longest_wait=MOVE_WAIT_SECONDS)
        if is_drained and await self._wait_caught_up():
            return True
        self._gate.open()
        return False

    async def _wait_caught_up(self) -> bool:
        deadline = self._clock.now() + MOVE_WAIT_SECONDS
        target = self._group.floors.latest
        while self._clock.now() < deadline:
            if any(
                self._group.monitor_of(name).applied >= target
                for name in self._preferred()
            ):
                return True
            await asyncio.sleep(POLL_SECONDS)
        return False
