"""Leases that let one host at a time run a task.

The store holds one row for each task, with its holder and an epoch that
grows with each change of holder. A lease is renewed when the store, or a
majority of the hosts, confirms that it knows no later epoch; it is valid for
`LEASE_SECONDS` from the moment the request was sent. A host that takes over
a task writes the row, notifies a majority, and waits until every lease that
was confirmed before has expired. `specifications/leases.py` models this rule,
and `lease_renewal` renews the leases.
"""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import clock, errors
from egretstep.membership import claim_writer, claims, directory, fencing
from egretstep.storage import row_decoding, tables

LEASE_SECONDS = 1.25
STORE_ANSWER_SECONDS = 0.3
_logger = logbook.Logger('leases')


class LeaseKeeper:
    """Holds the leases of this host and the latest known claim of each task.

    `task_received` is set when another host hands over a task to this one.
    `first_era` is the store's era when the fleet started for the first time,
    and None if this process was not started then. Only in that era, a task
    without a claim is known to have had no holder.
    """

    def __init__(
        self,
        *,
        store: tables.Tables,
        hosts: directory.Directory,
        confirmers: claims.Confirmers,
        time_source: clock.Clock,
        first_era: int | None = None,
    ) -> None:
        self._writer = claim_writer.ClaimWriter(
            store=store,
            hosts=hosts,
            confirmers=confirmers,
            known=self,
            first_era=first_era,
        )
        self._hosts = hosts
        self._confirmers = confirmers
        self._clock = time_source
        self._claims: dict[claims.TaskName, claims.Claim] = {}
        self._rows = row_decoding.RowDecoder(
            decode=claims.decode_row, prefix=claims.PREFIX
        )
        self._expires_at: dict[claims.TaskName, float] = {}
        self._takeover_ends_at: dict[claims.TaskName, float] = {}
        self._verified_eras: dict[claims.TaskName, int] = {}
        self._revision = 0
        self._synced_era: int | None = None
        self._synced_at = float('-inf')
        self.task_received = asyncio.Event()

    @property
    def revision(self) -> int:
        """Return a number that grows with each change of the known claims."""
        return self._revision

    @property
    def is_synced(self) -> bool:
        """Return whether the claims in the store were read."""
        return self._synced_era is not None

    def mark_synced(self, era: int) -> None:
        """Record that the claims in the store were read in an era."""
        self._synced_era = era
        self._synced_at = self._clock.now()

    def can_confirm(self, sent: typing.Sequence[claims.Claim]) -> bool:
        """Return whether this host may confirm claims of other hosts.

        A process that started after a restore does not know the claims that
        the store has lost and that an earlier process of this host confirmed.
        It first lets their leases expire.
        """
        if self._synced_era is None:
            return False
        if self._clock.now() - self._synced_at >= LEASE_SECONDS:
            return True
        return all(
            fencing.era_of(claim.epoch) >= self._synced_era for claim in sent
        )

    @property
    def known(self) -> typing.Mapping[claims.TaskName, claims.Claim]:
        """Return the latest known claim of each task."""
        return self._claims

    def merge_rows(self, rows: typing.Mapping[str, tables.Row]) -> None:
        """Merge the claims of the given rows of the store."""
        for claim in self._rows.decode(rows):
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

    def renewed_claims(self) -> list[claims.Claim]:
        """Return this host's claims whose leases it renews."""
        return [self._claims[task] for task in self._expires_at]

    def extend_lease(self, claim: claims.Claim, sent_at: float) -> None:
        """Extend a lease that was confirmed by a request sent at a time."""
        task = claim.task
        known = self._claims.get(task)
        is_same = known is not None and known.epoch == claim.epoch
        if is_same and task in self._expires_at:
            expires_at = sent_at + LEASE_SECONDS
            self._expires_at[task] = max(self._expires_at[task], expires_at)

    def drop_lease(self, task: claims.TaskName) -> None:
        """Stop renewing a lease, so that this host may claim the task again."""
        self._expires_at.pop(task, None)

    def verified_era(self, task: claims.TaskName) -> int | None:
        """Return the latest era in which this host's claim was verified.

        In that era of the store, no later claim was known to a majority of
        the hosts, and the store had this host's claim.
        """
        return self._verified_eras.get(task)

    def record_verified(self, claim: claims.Claim, era: int) -> None:
        """Record that this host's claim is verified in an era."""
        if self._claims[claim.task].epoch == claim.epoch:
            self._verified_eras[claim.task] = era

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
        for claim in sent:
            self.merge(claim)
        return [
            self._claims[claim.task]
            for claim in sent
            if self._claims[claim.task].precedence > claim.precedence
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
            written = await self._writer.write_next(task, observed)
        except (errors.PlatformError, errors.ConflictError) as error:
            _logger.info(
                'task {} could not be claimed and is tried again: {}',
                task,
                error,
            )
            return None
        if written is None:
            return None
        new_claim = written.claim
        self.merge(new_claim)
        if new_claim.is_settled:
            asyncio.ensure_future(self._confirmers.confirm([new_claim]))
        else:
            if not await self._writer.notify_majority(new_claim):
                return None
            await self._wait_for_former_lease(task)
            # Another host may have taken over from this one meanwhile, and
            # waits only for leases that were confirmed before.
            sent_at = self._clock.now()
            if not await self._writer.is_current(written):
                return None
            asyncio.ensure_future(self._mark_settled(new_claim))
        if self._claims[task].epoch != new_claim.epoch:
            return None
        self._expires_at[task] = sent_at + LEASE_SECONDS
        self._verified_eras[task] = written.era
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
        claim = self._claims[task]
        lease = claim_writer.EndedLease(
            verified_era=self.verified_era(task),
            has_expired=not self.remaining_lease(task),
        )
        self._expires_at.pop(task, None)
        try:
            following = await self._writer.release(claim, successor, lease)
        except (errors.PlatformError, errors.ConflictError) as error:
            _logger.warning(
                'task {} could not be handed over to {}; another host claims '
                'it: {}',
                task,
                successor.host,
                error,
            )
            return False
        if following is None:
            _logger.warning(
                'task {} was not handed over to {}: epoch {} is over, or not '
                'verified in the era of the store; another host claims it',
                task,
                successor.host,
                claim.epoch,
            )
            return False
        self.merge(following)
        await self._confirmers.confirm([following])
        return True

    async def _mark_settled(self, new_claim: claims.Claim) -> None:
        """Record that the leases of all former holders have expired."""
        await self._revise(new_claim, is_settled=True)

    async def record(self, claim: claims.Claim, detail: str) -> bool:
        """Save a detail for the next holder; return whether it will know it.

        That is so if the store has it or, in case the store takes longer than
        `STORE_ANSWER_SECONDS`, a majority of the hosts. The write goes on
        after that.
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
        notifying = asyncio.ensure_future(self._writer.notify_majority(revised))
        storing = asyncio.ensure_future(self._store_claim(revised))
        await asyncio.wait({storing}, timeout=STORE_ANSWER_SECONDS)
        if storing.done() and storing.result():
            return True
        is_known = await notifying
        return is_known and self._claims[claim.task].epoch == claim.epoch

    async def _store_claim(self, revised: claims.Claim) -> bool:
        try:
            return await self._writer.replace(revised)
        except (errors.PlatformError, errors.ConflictError) as error:
            _logger.info(
                'task {}: revision {} of epoch {} is not stored; only the '
                'hosts have it: {}',
                revised.task,
                revised.revision,
                revised.epoch,
                error,
            )
            return False
