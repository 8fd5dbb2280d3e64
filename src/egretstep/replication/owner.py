"""Ownership of one database by this host: claim, serving and failover.

A database's servers form its group; the owner is the host that holds the
group's latest term. Once a majority of the servers has promised a higher
term, they refuse all commands of older terms, so a takeover needs neither the
former owner nor the platform's store.
"""

import asyncio
import random
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.observability import metrics
from egretstep.replication import group, lease, pauses

CLAIM_RETRY_SECONDS = 0.1
CLAIM_JITTER_FACTORS = (0.5, 1.5)
BASE_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 3.0
POLL_INTERVAL_SECONDS = 0.05
MAX_HANDOVER_SECONDS = 9.0
HANDOVER_POLL_INTERVAL_SECONDS = 0.01
MOVE_RETRY_SECONDS = 5.0
MAX_MOVE_WAIT_SECONDS = 2.0
_logger = logbook.Logger('owner')

IsAlive = typing.Callable[[str], bool]
Preferred = typing.Callable[
    [],
    typing.Collection[identifiers.ServerName],
]


class WriteGate(typing.Protocol):
    """Blocks new writes while the primary moves to another server."""

    async def close(self, *, longest_wait: float) -> bool:
        """Block new writes and wait for the running ones to end.

        Waits up to `longest_wait` seconds and returns whether all ended.
        """

    def open(self) -> None:
        """Admit writes again."""


class DatabaseOwner:
    """Claims terms of one database and replaces its primary when needed.

    `is_alive` tells whether a host is alive, `preferred` returns the servers
    that the settings prefer as primary, and `on_serving` is called with each
    term that this host starts to serve.
    """

    def __init__(
        self,
        *,
        database_group: group.DatabaseGroup,
        host: str,
        is_alive: IsAlive,
        preferred: Preferred,
        on_serving: typing.Callable[[group.Tenure], None],
        write_gate: WriteGate,
        time_source: clock.Clock,
    ) -> None:
        self._group = database_group
        self._host = host
        self._is_alive = is_alive
        self._preferred = preferred
        self._on_serving = on_serving
        self._gate = write_gate
        self._clock = time_source
        self._released_term = identifiers.NO_TERM
        self._next_move_at = float('-inf')
        self._buckets_empty_at = float('-inf')
        self._has_failed_claim = False
        self._consecutive_losses = 0

    @property
    def buckets_empty_at(self) -> float:
        """Return the monotonic time at which token buckets count as empty.

        This is when this host took over from another one, since it does not
        know which tokens the other one has granted. It is minus infinity for
        the first owner of the database.
        """
        return self._buckets_empty_at

    def accept_handover(self, term: identifiers.Term) -> None:
        """Record that the former owner has released a term."""
        self._released_term = max(self._released_term, term)

    async def run(self) -> None:
        """Claim and serve the database until cancelled."""
        try:
            await self._wait_for_statuses()
            while True:
                await self._back_off_after_loss()
                await self._wait_for_handover()
                await self._take_over()
                await self._serve()
        finally:
            self._group.stop_serving()

    async def _back_off_after_loss(self) -> None:
        """Back off exponentially after each term lost to another host.

        Without this, two hosts that both claim the database would take it
        from each other again and again.
        """
        if not self._group.superseded.is_set():
            self._consecutive_losses = 0
            return
        self._consecutive_losses += 1
        max_pause = min(
            BASE_BACKOFF_SECONDS * 2**self._consecutive_losses,
            MAX_BACKOFF_SECONDS,
        )
        await asyncio.sleep(max_pause * random.uniform(0.5, 1))

    async def _wait_for_statuses(self) -> None:
        while not all(
            server_monitor.is_state_known
            for server_monitor in self._group.monitors
        ):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _wait_for_handover(self) -> None:
        """Give a live owner time to hand over without cutting off callers."""
        deadline = self._clock.now() + MAX_HANDOVER_SECONDS
        while self._clock.now() < deadline:
            term, owner = self._group.promised()
            if not owner or owner == self._host or not self._is_alive(owner):
                return
            if self._released_term >= term:
                return
            await asyncio.sleep(HANDOVER_POLL_INTERVAL_SECONDS)

    async def _take_over(self) -> None:
        started = self._clock.now()
        while True:
            term, owner = self._group.promised()
            try:
                tenure, fenced_at = await self._group.claim(
                    preferred=self._preferred(),
                )
            except errors.DatabaseServerError as error:
                self._log_claim_failure(str(error))
                await asyncio.sleep(
                    CLAIM_RETRY_SECONDS * random.uniform(*CLAIM_JITTER_FACTORS),
                )
                continue
            if owner not in {'', self._host} and self._released_term < term:
                await self._wait_for_old_lease(fenced_at)
            if owner not in {'', self._host}:
                self._buckets_empty_at = self._clock.now()
            break
        self._has_failed_claim = False
        self._group.start_serving(tenure)
        self._gate.open()
        self._on_serving(tenure)
        elapsed = self._clock.now() - started
        metrics.failover_seconds.observe(
            {'database': self._group.database},
            elapsed,
        )
        _logger.info(
            'database {}: serving term {} with primary {} after {:.3f} s',
            self._group.database,
            tenure.term,
            tenure.primary,
            elapsed,
        )

    def _log_claim_failure(self, reason: str) -> None:
        if not self._has_failed_claim:
            self._has_failed_claim = True
            _logger.warning(
                'database {}: claim failed, retrying: {}',
                self._group.database,
                reason,
            )

    async def _wait_for_old_lease(self, fenced_at: float) -> None:
        remaining_seconds = fenced_at + lease.LEASE_SECONDS - self._clock.now()
        await asyncio.sleep(max(0.0, remaining_seconds))

    async def _serve(self) -> None:
        """Watch the primary; returns when a new term is needed."""
        pause_detector = pauses.PauseDetector(time_source=self._clock)
        while not self._group.superseded.is_set():
            if pause_detector.was_paused():
                await asyncio.sleep(pauses.RECOVERY_SECONDS)
                pause_detector.restart()
                continue
            if not self._group.is_primary_up():
                _logger.warning(
                    'database {}: the primary is down or has lost its role',
                    self._group.database,
                )
                return
            if (
                self._should_move_primary()
                and await self._prepare_primary_move()
            ):
                return
            pause_detector.restart()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _should_move_primary(self) -> bool:
        """Return whether to move the primary to a preferred server now."""
        tenure = self._group.tenure
        preferred = self._preferred()
        if tenure is None or not preferred or tenure.primary in preferred:
            return False
        if self._clock.now() < self._next_move_at:
            return False
        return any(self._group.monitor_of(name).is_up for name in preferred)

    async def _prepare_primary_move(self) -> bool:
        """Drain the writes and wait for a preferred server to catch up.

        Returns whether the primary can move. If either wait times out, the
        move is postponed and writes are admitted again, so that no write is
        interrupted.
        """
        self._next_move_at = self._clock.now() + MOVE_RETRY_SECONDS
        is_drained = await self._gate.close(longest_wait=MAX_MOVE_WAIT_SECONDS)
        if is_drained and await self._wait_for_catch_up():
            return True
        self._gate.open()
        return False

    async def _wait_for_catch_up(self) -> bool:
        deadline = self._clock.now() + MAX_MOVE_WAIT_SECONDS
        required_position = self._group.floors.latest
        while self._clock.now() < deadline:
            if any(
                self._group.monitor_of(name).applied >= required_position
                for name in self._preferred()
            ):
                return True
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return False
