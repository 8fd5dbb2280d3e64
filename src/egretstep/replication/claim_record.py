"""The record of the primary in the claim of an owner, as it is kept there."""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import identifiers
from egretstep.membership import claims, leases
from egretstep.replication import candidates, log_holders, primary_record
from egretstep.settings import deployment

_logger = logbook.Logger('succession')


class ClaimRecord:
    """Reads and saves what this owner leaves to the next one.

    `acknowledged` returns a position that covers every acknowledged commit.
    """

    def __init__(
        self,
        *,
        service: deployment.ServiceName,
        claim: claims.Claim,
        keeper: leases.LeaseKeeper,
        holders: log_holders.LogHolders,
        acknowledged: typing.Callable[[], identifiers.LogPosition | None],
    ) -> None:
        self._service = service
        self._claim = claim
        self._keeper = keeper
        self._holders = holders
        self._acknowledged = acknowledged
        self._check: asyncio.Future[None] | None = None

    @property
    def current(self) -> primary_record.PrimaryRecord:
        """Return what is recorded, by this or the last owner."""
        claim = self._keeper.known[self._claim.task]
        return primary_record.decode(claim.detail)

    async def save(self, record: primary_record.PrimaryRecord) -> bool:
        """Save a record; return whether the next owner will know it."""
        former = self.current
        if record == former:
            return True
        if record.log_holders != former.log_holders:
            _logger.info(
                'service {}: acknowledged commits may be on {} (epoch {})',
                self._service,
                [each.server for each in record.log_holders],
                self._claim.epoch,
            )
        return await self._keeper.record(self._claim, record.encode())

    def save_primary(self, candidate: candidates.Candidate) -> None:
        """Save in the background that a server leads."""
        record = dataclasses.replace(
            self.current,
            server=candidate.server.server,
            term=candidate.status.term,
            is_pending=False,
        )
        # Until then, the pending record leads the next owner to this server.
        asyncio.ensure_future(
            self.save(self._holders.add_registered(self._service, record))
        )

    async def update_log_holders(self) -> None:
        """Record which servers may hold acknowledged commits."""
        if not self._holders.are_recorded(self._service):
            return
        record = self.current
        if record.is_pending:
            return
        await self.save(self._holders.add_registered(self._service, record))
        if self._holders.is_check_due(self._service, self.current):
            # Servers that do not answer must not hold up the owner.
            self._check = asyncio.ensure_future(self._drop_log_holders())

    async def _drop_log_holders(self) -> None:
        record = self.current
        remaining = await self._holders.drop_gone(
            self._service, record, self._acknowledged
        )
        is_held = self._keeper.is_held(self._claim.task, self._claim.epoch)
        if is_held and self.current == record:
            await self.save(remaining)
