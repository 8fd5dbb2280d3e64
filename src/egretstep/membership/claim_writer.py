"""Writes the claims of this host to the store, and has others confirm them."""

import dataclasses
import typing

import logbook

from egretstep import errors
from egretstep.membership import (
    claim_rows,
    claims,
    directory,
    epochs,
    fencing,
)
from egretstep.storage import tables

_logger = logbook.Logger('leases')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WrittenClaim:
    """A claim, and the era of the store in which it was written."""

    claim: claims.Claim
    era: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndedLease:
    """A lease that its holder has just ended in order to release the task.

    `verified_era` is the latest era in which the holder's claim was verified,
    and `has_expired` says whether the lease had expired before.
    """

    verified_era: int | None
    has_expired: bool


class KnownClaims(typing.Protocol):
    """The latest claim of each task that this host knows."""

    @property
    def known(self) -> typing.Mapping[claims.TaskName, claims.Claim]:
        """Return the latest known claim of each task."""

    def merge(self, claim: claims.Claim) -> bool:
        """Merge a claim; return false if a later epoch is already known."""

    def is_mine(self, claim: claims.Claim) -> bool:
        """Return whether a claim belongs to this process of this host."""


class ClaimWriter:
    """Writes claims to the store.

    The methods raise `errors.PlatformError` if the store fails, and
    `errors.ConflictError` if a row has changed since it was read. `first_era`
    is as in `leases.LeaseKeeper`.
    """

    def __init__(
        self,
        *,
        store: tables.Tables,
        hosts: directory.Directory,
        confirmers: claims.Confirmers,
        known: KnownClaims,
        first_era: int | None,
    ) -> None:
        self._rows = claim_rows.ClaimRows(store=store)
        self._hosts = hosts
        self._confirmers = confirmers
        self._known = known
        self._first_era = first_era

    async def write_next(
        self,
        task: claims.TaskName,
        observed: claims.Claim | None,
    ) -> WrittenClaim | None:
        """Write the next epoch of a task with this host as its holder.

        Returns None if the claim has changed since `observed` was known.
        """
        stored = await self._rows.read(task)
        former = await self._latest_claim(task, stored)
        observed_epoch = observed.epoch if observed else 0
        if former is None:
            new_claim = epochs.first_claim(
                task,
                own=self._hosts.own,
                era=stored.era,
                is_settled=stored.era == self._first_era,
            )
        elif former.epoch > observed_epoch and not self._known.is_mine(former):
            return None
        else:
            new_claim = epochs.next_claim(
                former, hosts=self._hosts, era=stored.era
            )
        version = await self._rows.swap(stored.version, new_claim)
        return WrittenClaim(claim=new_claim, era=version.era)

    async def release(
        self,
        claim: claims.Claim,
        successor: directory.Host,
        lease: EndedLease,
    ) -> claims.Claim | None:
        """Write the claim of a successor of this host.

        Returns None if this host's claim is over, or if that can't be
        excluded: the claim was not verified in the store's era, and the lease
        had expired or no majority of the hosts confirms the claim.
        """
        stored = await self._rows.read(claim.task)
        is_verified = lease.verified_era == stored.era
        if lease.has_expired and not is_verified:
            return None
        if not is_verified and not await self.notify_majority(claim):
            return None
        latest = self._known.known[claim.task]
        if latest.epoch != claim.epoch or stored.is_later_than(latest):
            return None
        following = epochs.handover_claim(latest, successor, era=stored.era)
        await self._rows.swap(stored.version, following)
        return following

    async def is_current(self, written: WrittenClaim) -> bool:
        """Return whether no other host has claimed the task since.

        The store says so, unless it was restored meanwhile. If it does not
        answer, a majority of the hosts must know of no later claim.
        """
        try:
            stored = await self._rows.read(written.claim.task)
        except errors.PlatformError as error:
            _logger.info(
                'task {}: the store does not confirm epoch {}, the hosts are '
                'asked: {}',
                written.claim.task,
                written.claim.epoch,
                error,
            )
            return await self.notify_majority(written.claim)
        if stored.claim is not None:
            self._known.merge(stored.claim)
        is_same = stored.claim and stored.claim.epoch == written.claim.epoch
        if is_same and stored.era == written.era:
            return True
        _logger.info(
            'task {}: epoch {}, written in era {}, is not confirmed after its '
            'wait; the task is not started and is claimed again if nobody '
            'holds it; era {} of the store holds {}',
            written.claim.task,
            written.claim.epoch,
            written.era,
            stored.era,
            stored.claim,
        )
        return False

    async def replace(self, revised: claims.Claim) -> bool:
        """Write a revised claim; return false if a later one is stored."""
        return await self._rows.replace(revised)

    async def notify_majority(self, new_claim: claims.Claim) -> bool:
        """Notify the other hosts; return whether a quorum answered."""
        confirmation = await self._confirmers.confirm([new_claim])
        self._merge(confirmation.newer)
        if not confirmation.has_quorum:
            _logger.warning(
                'task {}: {} other hosts confirmed epoch {}, which is no '
                'quorum of the voters; the store must confirm it, or it is '
                'claimed again',
                new_claim.task,
                len(confirmation.newer),
                new_claim.epoch,
            )
        return confirmation.has_quorum

    async def _latest_claim(
        self,
        task: claims.TaskName,
        stored: claim_rows.StoredClaim,
    ) -> claims.Claim | None:
        """Return the later one of the stored and the known claim of a task.

        The other hosts are asked for a later one that the store has lost, if
        that is of a former era, or never had: a holder that the store did not
        answer has left its detail at a majority of the hosts.
        """
        if stored.claim is not None:
            self._known.merge(stored.claim)
        latest = self._known.known.get(task)
        if latest is not None and _may_have_later(latest, stored.era):
            confirmation = await self._confirmers.confirm([latest])
            self._merge(confirmation.newer)
        return self._known.known.get(task)

    def _merge(
        self, replies: typing.Sequence[typing.Sequence[claims.Claim]]
    ) -> None:
        for newer in replies:
            for claim in newer:
                self._known.merge(claim)


def _may_have_later(latest: claims.Claim, era: int) -> bool:
    # A claim that was released was stored as a whole by its former holder.
    return fencing.era_of(latest.epoch) != era or not latest.is_released
