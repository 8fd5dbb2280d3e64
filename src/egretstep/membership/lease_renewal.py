"""Renews the leases of this host.

The store renews a lease if its row shows the claim of this host. After a
restore the row may be older than it was, and may show a host that has lost
the task meanwhile. So in each new era of the store a claim is verified before
the store renews its lease: a majority of the hosts must know of no later one.
If the store has lost the claim, it is written again; a late write of a former
era can also replace a claim that is verified already. That needs a lease that
has not expired, since then no other host can hold the task. With an expired
one the host claims the task again.
"""

import asyncio
import typing

import logbook

from egretstep import clock, errors
from egretstep.membership import claim_rows, claims, leases
from egretstep.observability import metrics
from egretstep.storage import tables

RENEWAL_SECONDS = 0.5
_logger = logbook.Logger('leases')


class LeaseRenewal:
    """Renews the leases of a `LeaseKeeper` at the store or at the hosts."""

    def __init__(
        self,
        *,
        keeper: leases.LeaseKeeper,
        store: tables.Tables,
        confirmers: claims.Confirmers,
        time_source: clock.Clock,
    ) -> None:
        self._keeper = keeper
        self._rows = claim_rows.ClaimRows(store=store)
        self._confirmers = confirmers
        self._clock = time_source
        self._store_answers = True

    @property
    def store_answers(self) -> bool:
        """Return whether the store answered the last renewal in time."""
        return self._store_answers

    async def run(self) -> None:
        """Renew the leases of this host until cancelled."""
        while True:
            await asyncio.sleep(RENEWAL_SECONDS)
            if self._keeper.renewed_claims():
                await self.renew()

    async def renew(self) -> None:
        """Renew all leases of this host once."""
        sent_at = self._clock.now()
        own_claims = self._keeper.renewed_claims()
        if not self._store_answers:
            await asyncio.gather(
                self._renew_at_store(sent_at),
                self._renew_at_hosts(own_claims, sent_at),
            )
            return
        stored = await self._renew_at_store(sent_at)
        if stored is None:
            await self._renew_at_hosts(own_claims, self._clock.now())
        else:
            await self._verify_claims(own_claims, stored)

    async def _renew_at_store(self, sent_at: float) -> tables.Snapshot | None:
        """Return the rows of all claims, None if the store does not answer."""
        try:
            async with asyncio.timeout(leases.STORE_ANSWER_SECONDS):
                stored = await self._rows.read_all()
        except (errors.PlatformError, TimeoutError) as error:
            if self._store_answers:
                _logger.warning(
                    'leases: renewal at the store failed, the hosts are asked: '
                    '{!r}',
                    error,
                )
            self._store_answers = False
            return None
        if not self._store_answers:
            _logger.info('leases: the store answers again')
        self._store_answers = True
        self._keeper.merge_rows({row.key: row for row in stored.rows})
        for row in stored.rows:
            held = claims.decode_row(row)
            if held is not None and self._is_renewed(held, stored.version.era):
                self._keeper.extend_lease(held, sent_at)
        return stored

    def _is_renewed(self, held: claims.Claim, era: int) -> bool:
        if not self._keeper.is_mine(held):
            return False
        return self._keeper.verified_era(held.task) == era

    async def _renew_at_hosts(
        self,
        own_claims: typing.Sequence[claims.Claim],
        sent_at: float,
    ) -> list[claims.Claim]:
        """Return the claims that a quorum of the voters has confirmed."""
        confirmation = await self._confirmers.confirm(own_claims)
        for newer in confirmation.newer:
            for claim in newer:
                self._keeper.merge(claim)
        if not confirmation.has_quorum:
            return []
        known = self._keeper.known
        confirmed = [
            each for each in own_claims if known[each.task].epoch == each.epoch
        ]
        for claim in confirmed:
            self._keeper.extend_lease(claim, sent_at)
        return confirmed

    async def _verify_claims(
        self,
        own_claims: typing.Sequence[claims.Claim],
        stored: tables.Snapshot,
    ) -> None:
        """Verify the claims of this host that the store does not confirm.

        They are not verified in the store's era, or the store lacks them.
        """
        era = stored.version.era
        stored_epochs = _epochs_by_task(stored)
        unconfirmed = [
            claim
            for claim in own_claims
            if self._keeper.verified_era(claim.task) != era
            or stored_epochs.get(claim.task) != claim.epoch
        ]
        renewed = self._keeper.renewed_claims()
        unverified = [
            claim
            for claim in unconfirmed
            if claim in renewed and not self._drop_expired(claim, era)
        ]
        if not unverified:
            return
        confirmed = await self._renew_at_hosts(unverified, self._clock.now())
        await asyncio.gather(*(self._write_again(each) for each in confirmed))

    def _drop_expired(self, claim: claims.Claim, era: int) -> bool:
        """Drop a lease that has expired before its claim was verified."""
        metrics.unrenewed_leases.inc(claim.task)
        if self._keeper.remaining_lease(claim.task):
            return False
        self._keeper.drop_lease(claim.task)
        _logger.info(
            'task {}: the lease of epoch {} has expired before its claim was '
            'verified in era {}; the task is claimed again',
            claim.task,
            claim.epoch,
            era,
        )
        return True

    async def _write_again(self, claim: claims.Claim) -> None:
        """Make sure that the store has a claim of this host."""
        try:
            stored = await self._rows.read(claim.task)
            latest = self._keeper.known[claim.task]
            if latest.epoch != claim.epoch or stored.is_later_than(latest):
                return
            if stored.claim != latest:
                await self._rows.swap(stored.version, latest)
        except (errors.PlatformError, errors.ConflictError) as error:
            _logger.warning(
                'task {}: claim of epoch {} could not be verified in the store; '
                'tried again at the next renewal: {}',
                claim.task,
                claim.epoch,
                error,
            )
            return
        self._keeper.record_verified(claim, stored.era)
        _logger.info(
            'task {}: claim of epoch {} verified in era {} (stored: {})',
            claim.task,
            claim.epoch,
            stored.era,
            stored.claim,
        )


def _epochs_by_task(stored: tables.Snapshot) -> dict[claims.TaskName, int]:
    decoded = map(claims.decode_row, stored.rows)
    return {claim.task: claim.epoch for claim in decoded if claim is not None}
