"""Leases that let one host at a time run a task.

The store holds one row for each task, with its holder and an epoch that
grows with each change of holder. A lease is renewed when the store, or a
majority of the hosts, confirms that it knows no later epoch; it is valid for
`LEASE_SECONDS` from the moment the request was sent. A host that takes over
a task writes the row, notifies a majority, and waits until every lease that
was confirmed before has expired. `specifications/leases.py` models this rule.
"""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import clock, errors
from egretstep.membership import claim_rows, claims, directory, epochs
from egretstep.observability import metrics
from egretstep.storage import tables

LEASE_SECONDS = 1.25
RENEWAL_SECONDS = 0.5
STORE_ANSWER_SECONDS = 0.3
_logger = logbook.Logger('leases')


class LeaseKeeper:
    """Holds the leases of this host and the latest known claim of each task.

    `task_received` is set when another host hands over a task to this one.
    `is_synced` is set from outside once the claims in the store were read.
    """

    def __init__(
        self,
        *,
        store: tables.Tables,
        hosts: directory.Directory,
        confirmers: claims.Confirmers,
        time_source: clock.Clock,
    ) -> None:
        self._rows = claim_rows.ClaimRows(store=store)
        self._hosts = hosts
        self._confirmers = confirmers
        self._clock = time_source
        self._claims: dict[claims.TaskName, claims.Claim] = {}
        self._expires_at: dict[claims.TaskName, float] = {}
        self._takeover_ends_at: dict[claims.TaskName, float] = {}
        self._store_answers = True
        self._revision = 0
        self.is_synced = False
        self.task_received = asyncio.Event()

    @property
    def revision(self) -> int:
        """Return a number that grows with each change of the known claims."""
        return self._revision

    @property
    def known(self) -> typing.Mapping[claims.TaskName, claims.Claim]:
        """Return the latest known claim of each task."""
        return self._claims

    @property
    def store_answers(self) -> bool:
        """Return whether the store answered the last renewal in time."""
        return self._store_answers

    def merge_rows(self, rows: typing.Mapping[str, tables.Row]) -> None:
        """Merge the claims of the given rows of the store."""
        for key, row in rows.items():
            if key.startswith(claims.PREFIX):
                claim = claims.decode(row.content)
                if claim is not None:
                    self.merge(claim)

    def merge(self, claim: claims.Claim) -> bool:
        """Merge a claim; return false if a later epoch is already known."""
        known = self._claims.get(claim.task)
        if known and known.precedence > claim.precedence:
            return known.epoch == claim.epoch
        if known != claim:
            self._claims[claim.task] = claim
            self._revision += 1
            if claim.is_released and self.is_mine(claim):
                self.task_received.set()
            if known is None or known.epoch != claim.epoch:
                self._apply_new_epoch(claim, known)
        return True

    def is_renewing(self, task: claims.TaskName) -> bool:
        """Return whether this host has a lease on a task that it renews."""
        return task in self._expires_at

    def remaining_lease(self, task: claims.TaskName) -> float:
        """Return the seconds until this host's lease on a task expires."""
        expires_at = self._expires_at.get(task, 0)
        return max(0.0, expires_at - self._clock.now())

    def time_until_start(self, task: claims.TaskName) -> float:
        """Return the seconds until this host may run a task it has claimed.

        Zero if it is not waiting for the lease of a former holder to expire.
        """
        ends_at = self._takeover_ends_at.get(task, 0)
        return max(0.0, ends_at - self._clock.now())

    def newer_claims(
        self, sent: typing.Sequence[claims.Claim]
    ) -> list[claims.Claim]:
        """Merge claims; return the known claim of each that is out of date."""
        return [
            self._claims[claim.task] for claim in sent if not self.merge(claim)
        ]

    def _apply_new_epoch(
        self,
        claim: claims.Claim,
        known: claims.Claim | None,
    ) -> None:
        if not self.is_mine(claim):
            self._expires_at.pop(claim.task, None)
        if known is not None:
            # A host that has just claimed a task is running.
            self._hosts.clear_suspicion(claim.host)
        _logger.info(
            'task {} is held by {} in epoch {} (previous epoch: {})',
            claim.task,
            claim.host,
            claim.epoch,
            known.epoch if known else 'none',
        )

    def is_mine(self, claim: claims.Claim) -> bool:
        """Return whether a claim belongs to this process of this host."""
        own = self._hosts.own
        return claim.host == own.host and claim.boot == own.boot

    def is_held(self, task: claims.TaskName, epoch: int) -> bool:
        """Return whether this host has a valid lease on a task in an epoch."""
        claim = self._claims.get(task)
        if claim is None or claim.epoch != epoch or claim.is_released:
            return False
        if not self.is_mine(claim):
            return False
        return self.remaining_lease(task) > 0

    async def claim(
        self,
        task: claims.TaskName,
        observed: claims.Claim | None = None,
    ) -> claims.Claim | None:
        """Take over a task and wait until its former lease has expired.

        `observed` is the claim on which the decision was based. Returns None
        if another host claimed the task first, the store failed, or fewer
        than a majority of the hosts confirmed the claim.
        """
        sent_at = self._clock.now()
        try:
            new_claim = await self._write_claim(task, observed)
        except (errors.PlatformError, errors.ConflictError) as error:
            _logger.info('task {} could not be claimed: {}', task, error)
            return None
        if new_claim is None:
            return None
        self.merge(new_claim)
        if new_claim.is_settled:
            asyncio.ensure_future(self._confirmers.confirm([new_claim]))
        else:
            if not await self._notify_majority(new_claim):
                return None
            await self._wait_for_former_lease(task)
            sent_at = self._clock.now()
            asyncio.ensure_future(self._mark_settled(new_claim))
        if self._claims[task].epoch != new_claim.epoch:
            return None
        self._expires_at[task] = sent_at + LEASE_SECONDS
        return new_claim

    async def _wait_for_former_lease(self, task: claims.TaskName) -> None:
        """Wait until every lease of former holders has expired."""
        self._takeover_ends_at[task] = self._clock.now() + LEASE_SECONDS
        try:
            await asyncio.sleep(LEASE_SECONDS)
        finally:
            del self._takeover_ends_at[task]

    async def hand_over(
        self,
        task: claims.TaskName,
        successor: directory.Host,
    ) -> bool:
        """Hand over a task; return whether the store has recorded it.

        The caller must have stopped the task, as the lease ends at once.
        """
        self._expires_at.pop(task, None)
        claim = self._claims[task]
        following = epochs.handover_claim(claim, successor)
        try:
            if not await self._rows.replace(claim.epoch, following):
                return False
        except (errors.PlatformError, errors.ConflictError) as error:
            _logger.warning('task {} could not be handed over: {}', task, error)
            return False
        self.merge(following)
        await self._confirmers.confirm([following])
        return True

    async def run(self) -> None:
        """Renew the leases of this host until cancelled."""
        while True:
            await asyncio.sleep(RENEWAL_SECONDS)
            own_claims = [
                claim
                for claim in self._claims.values()
                if self.is_mine(claim) and claim.task in self._expires_at
            ]
            if own_claims:
                await self._renew(own_claims)

    async def _renew(self, own_claims: list[claims.Claim]) -> None:
        sent_at = self._clock.now()
        if not self._store_answers:
            await asyncio.gather(
                self._renew_at_store(sent_at),
                self._renew_at_hosts(own_claims, sent_at),
            )
        elif not await self._renew_at_store(sent_at):
            await self._renew_at_hosts(own_claims, self._clock.now())

    async def _renew_at_store(self, sent_at: float) -> bool:
        try:
            async with asyncio.timeout(STORE_ANSWER_SECONDS):
                stored = await self._rows.read_all()
        except (errors.PlatformError, TimeoutError) as error:
            if self._store_answers:
                _logger.warning(
                    'leases: renewal at the store failed: {!r}', error
                )
            self._store_answers = False
            return False
        if not self._store_answers:
            _logger.info('leases: the store answers again')
        self._store_answers = True
        self.merge_rows(stored)
        self._log_unconfirmed(stored)
        for claim in stored.values():
            held = claims.decode(claim.content)
            if held is not None and self.is_mine(held):
                self._extend_lease(held, sent_at)
        return True

    def _log_unconfirmed(self, stored: typing.Mapping[str, tables.Row]) -> None:
        """Log the leases of this host that the rows do not confirm."""
        for task in self._expires_at:
            known = self._claims[task]
            row = stored.get(f'{claims.PREFIX}{task}')
            held = claims.decode(row.content) if row else None
            if held is not None and held.epoch == known.epoch:
                continue
            metrics.unrenewed_leases.inc(task)
            _logger.info(
                'task {}: lease of epoch {} not renewed, the store holds {}',
                task,
                known.epoch,
                held,
            )

    async def _renew_at_hosts(
        self,
        own_claims: list[claims.Claim],
        sent_at: float,
    ) -> None:
        replies = await self._confirmers.confirm(own_claims)
        for newer in replies:
            for claim in newer:
                self.merge(claim)
        if len(replies) < self._confirmers.majority():
            return
        for claim in own_claims:
            if all(claim.task not in _task_names(newer) for newer in replies):
                self._extend_lease(claim, sent_at)

    def _extend_lease(self, claim: claims.Claim, sent_at: float) -> None:
        task = claim.task
        known = self._claims.get(task)
        is_same = known is not None and known.epoch == claim.epoch
        if not is_same or task not in self._expires_at:
            return
        self._expires_at[task] = max(
            self._expires_at[task],
            sent_at + LEASE_SECONDS,
        )

    async def _notify_majority(self, new_claim: claims.Claim) -> bool:
        replies = await self._confirmers.confirm([new_claim])
        for newer in replies:
            for claim in newer:
                self.merge(claim)
        if len(replies) >= self._confirmers.majority():
            return True
        _logger.warning(
            'task {}: {} other hosts confirmed epoch {}, a majority needs {}',
            new_claim.task,
            len(replies),
            new_claim.epoch,
            self._confirmers.majority(),
        )
        return False

    async def _write_claim(
        self,
        task: claims.TaskName,
        observed: claims.Claim | None,
    ) -> claims.Claim | None:
        """Write the next epoch, unless the holder has changed meanwhile."""
        row = await self._rows.read(task)
        former = claims.decode(row.content)
        if former is not None:
            self.merge(former)
            observed_epoch = observed.epoch if observed else 0
            if former.epoch > observed_epoch and not self.is_mine(former):
                return None
        new_claim = epochs.next_claim(task, former, self._hosts)
        await self._rows.swap(task, row.version, new_claim)
        return new_claim

    async def _mark_settled(self, new_claim: claims.Claim) -> None:
        """Record that the leases of all former holders have expired."""
        await self._revise(new_claim, is_settled=True)

    async def record(self, claim: claims.Claim, detail: str) -> bool:
        """Save a detail for the next holder; return whether it is stored.

        The other hosts are notified too. If the store takes longer than
        `STORE_ANSWER_SECONDS`, the write goes on after this returns false.
        """
        return await self._revise(claim, detail=detail)

    async def _revise(self, claim: claims.Claim, **changed: typing.Any) -> bool:
        known = self._claims[claim.task]
        if known.epoch != claim.epoch:
            return False
        revised = dataclasses.replace(
            known,
            revision=known.revision + 1,
            **changed,
        )
        self.merge(revised)
        asyncio.ensure_future(self._confirmers.confirm([revised]))
        storing = asyncio.ensure_future(self._store_claim(revised))
        await asyncio.wait({storing}, timeout=STORE_ANSWER_SECONDS)
        return storing.done() and storing.result()

    async def _store_claim(self, revised: claims.Claim) -> bool:
        try:
            return await self._rows.replace(revised.epoch, revised)
        except (errors.PlatformError, errors.ConflictError) as error:
            _logger.info('task {}: claim not stored: {}', revised.task, error)
            return False


def _task_names(sent: typing.Sequence[claims.Claim]) -> set[claims.TaskName]:
    return {claim.task for claim in sent}
