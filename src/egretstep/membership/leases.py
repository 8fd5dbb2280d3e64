"""Leases on tasks that one host does at a time.

The store holds one row for each task, with the holder and an epoch that
grows with each change of holder. A lease is valid for `LEASE_SECONDS` from
the start of a question to which the store, or a majority of the hosts,
answered that it knows no later epoch. A host that takes a task over writes
the row, tells a majority, and waits until older answers have run out.
`specifications/leases.py` is the model of this rule.
"""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import clock, errors
from egretstep.membership import claim_rows, claims, directory, epochs
from egretstep.storage import tables

LEASE_SECONDS = 1.25
RENEWAL_SECONDS = 0.5
STORE_ANSWER_SECONDS = 0.3
_logger = logbook.Logger('leases')


class LeaseKeeper:
    """The leases of this host, and what it knows of others'.

    `was_given` is set when another host hands a task to this one.
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
        self._valid_until: dict[claims.TaskName, float] = {}
        self._starts_at: dict[claims.TaskName, float] = {}
        self._store_answers = True
        self._revision = 0
        self.is_synced = False
        self.was_given = asyncio.Event()

    @property
    def revision(self) -> int:
        """Return a number that grows with each change of the claims."""
        return self._revision

    @property
    def known(self) -> typing.Mapping[claims.TaskName, claims.Claim]:
        """Return the latest known claim of each task."""
        return self._claims

    @property
    def store_answers(self) -> bool:
        """Tell whether the store answered the last renewal."""
        return self._store_answers

    def follow(self, rows: typing.Mapping[str, tables.Row]) -> None:
        """Take over the rows of the store."""
        for key, row in rows.items():
            if key.startswith(claims.PREFIX):
                claim = claims.decode(row.content)
                if claim is not None:
                    self.note(claim)

    def note(self, claim: claims.Claim) -> bool:
        """Learn of a claim; returns whether no later one is known."""
        known = self._claims.get(claim.task)
        if known and known.order > claim.order:
            return known.epoch == claim.epoch
        if known != claim:
            self._claims[claim.task] = claim
            self._revision += 1
            if claim.is_released and self.is_mine(claim):
                self.was_given.set()
            if known is None or known.epoch != claim.epoch:
                self._log_change(claim, known)
        return True

    def is_renewing(self, task: claims.TaskName) -> bool:
        """Tell whether this host does a task and renews its lease."""
        return task in self._valid_until

    def lease_left(self, task: claims.TaskName) -> float:
        """Return the seconds for which this host's lease still holds."""
        valid_until = self._valid_until.get(task, 0)
        return max(0.0, valid_until - self._clock.now())

    def starts_in(self, task: claims.TaskName) -> float:
        """Return the seconds until this host may do a task it has claimed.

        Zero means that it waits for no former holder.
        """
        starts_at = self._starts_at.get(task, 0)
        return max(0.0, starts_at - self._clock.now())

    def later(self, asked: typing.Sequence[claims.Claim]) -> list[claims.Claim]:
        """Learn of claims; returns the later ones that are known here."""
        return [
            self._claims[claim.task] for claim in asked if not self.note(claim)
        ]

    def _log_change(
        self,
        claim: claims.Claim,
        known: claims.Claim | None,
    ) -> None:
        if not self.is_mine(claim):
            self._valid_until.pop(claim.task, None)
        if known is not None:
            # A host that has just claimed something is up.
            self._hosts.trust(claim.host)
        _logger.info(
            'task {} is held by {} in epoch {} (before: {})',
            claim.task,
            claim.host,
            claim.epoch,
            known.epoch if known else 'none',
        )

    def is_mine(self, claim: claims.Claim) -> bool:
        """Tell whether a claim is of this very process."""
        own = self._hosts.own
        return claim.host == own.host and claim.boot == own.boot

    def is_held(self, task: claims.TaskName, epoch: int) -> bool:
        """Tell whether this host holds a task in an epoch right now."""
        claim = self._claims.get(task)
        if claim is None or claim.epoch != epoch or claim.is_released:
            return False
        if not self.is_mine(claim):
            return False
        return self.lease_left(task) > 0

    async def claim(
        self,
        task: claims.TaskName,
        judged: claims.Claim | None = None,
    ) -> claims.Claim | None:
        """Take a task over and wait until its former lease has run out.

        `judged` is the claim whose holder was found to be gone. Returns
        none when another host was faster, the store gave no answer,
        or no majority of the hosts could be told.
        """
        asked_at = self._clock.now()
        try:
            taken = await self._write_claim(task, judged)
        except (errors.PlatformError, errors.ConflictError) as error:
            _logger.info('task {} is not claimed: {}', task, error)
            return None
        if taken is None:
            return None
        self.note(taken)
        if taken.is_settled:
            asyncio.ensure_future(self._confirmers.confirm([taken]))
        else:
            if not await self._tell_majority(taken):
                return None
            await self._wait_for_former(task)
            asked_at = self._clock.now()
            asyncio.ensure_future(self._settle(taken))
        if self._claims[task].epoch != taken.epoch:
            return None
        self._valid_until[task] = asked_at + LEASE_SECONDS
        return taken

    async def _wait_for_former(self, task: claims.TaskName) -> None:
        """Wait until every lease of former holders has run out."""
        self._starts_at[task] = self._clock.now() + LEASE_SECONDS
        try:
            await asyncio.sleep(LEASE_SECONDS)
        finally:
            del self._starts_at[task]

    async def release(
        self,
        task: claims.TaskName,
        successor: directory.Host,
    ) -> bool:
        """Hand a task to another host; nothing of it may run any more."""
        self._valid_until.pop(task, None)
        claim = self._claims[task]
        following = epochs.given_claim(claim, successor)
        try:
            if not await self._rows.replace(claim.epoch, following):
                return False
        except (errors.PlatformError, errors.ConflictError) as error:
            _logger.warning('task {} is not handed over: {}', task, error)
            return False
        self.note(following)
        await self._confirmers.confirm([following])
        return True

    async def run(self) -> None:
        """Renew the leases of this host until cancelled."""
        while True:
            await asyncio.sleep(RENEWAL_SECONDS)
            mine = [
                claim
                for claim in self._claims.values()
                if self.is_mine(claim) and claim.task in self._valid_until
            ]
            if mine:
                await self._renew(mine)

    async def _renew(self, mine: list[claims.Claim]) -> None:
        asked_at = self._clock.now()
        if not self._store_answers:
            await asyncio.gather(
                self._renew_at_store(asked_at),
                self._renew_at_hosts(mine, asked_at),
            )
        elif not await self._renew_at_store(asked_at):
            await self._renew_at_hosts(mine, self._clock.now())

    async def _renew_at_store(self, asked_at: float) -> bool:
        try:
            async with asyncio.timeout(STORE_ANSWER_SECONDS):
                stored = await self._rows.read_all()
        except (errors.PlatformError, TimeoutError) as error:
            if self._store_answers:
                _logger.warning(
                    'leases: the store does not answer: {!r}', error
                )
            self._store_answers = False
            return False
        if not self._store_answers:
            _logger.info('leases: the store answers again')
        self._store_answers = True
        self.follow(stored)
        for claim in stored.values():
            held = claims.decode(claim.content)
            if held is not None and self.is_mine(held):
                self._extend(held, asked_at)
        return True

    async def _renew_at_hosts(
        self,
        mine: list[claims.Claim],
        asked_at: float,
    ) -> None:
        replies = await self._confirmers.confirm(mine)
        for later in replies:
            for claim in later:
                self.note(claim)
        if len(replies) < self._confirmers.majority():
            return
        for claim in mine:
            if all(claim.task not in _tasks(later) for later in replies):
                self._extend(claim, asked_at)

    def _extend(self, claim: claims.Claim, asked_at: float) -> None:
        task = claim.task
        known = self._claims.get(task)
        is_same = known is not None and known.epoch == claim.epoch
        if not is_same or task not in self._valid_until:
            return
        self._valid_until[task] = max(
            self._valid_until[task],
            asked_at + LEASE_SECONDS,
        )

    async def _tell_majority(self, taken: claims.Claim) -> bool:
        replies = await self._confirmers.confirm([taken])
        for later in replies:
            for claim in later:
                self.note(claim)
        if len(replies) >= self._confirmers.majority():
            return True
        _logger.warning(
            'task {}: only {} other hosts heard of epoch {}, {} must',
            taken.task,
            len(replies),
            taken.epoch,
            self._confirmers.majority(),
        )
        return False

    async def _write_claim(
        self,
        task: claims.TaskName,
        judged: claims.Claim | None,
    ) -> claims.Claim | None:
        """Write the next epoch, unless the task has changed its holder."""
        row = await self._rows.read(task)
        former = claims.decode(row.content)
        if former is not None:
            self.note(former)
            judged_epoch = judged.epoch if judged else 0
            if former.epoch > judged_epoch and not self.is_mine(former):
                return None
        taken = epochs.next_claim(task, former, self._hosts)
        await self._rows.swap(task, row.version, taken)
        return taken

    async def _settle(self, taken: claims.Claim) -> None:
        """Record that no wait is needed after this claim any more."""
        await self._revise(taken, is_settled=True)

    async def record(self, claim: claims.Claim, detail: str) -> bool:
        """Keep a detail for the next holder; returns whether it is stored.

        The hosts that answer learn of it too. A store that is slow goes on
        storing it after this has returned.
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
        self.note(revised)
        asyncio.ensure_future(self._confirmers.confirm([revised]))
        storing = asyncio.ensure_future(self._store(revised))
        await asyncio.wait({storing}, timeout=STORE_ANSWER_SECONDS)
        return storing.done() and storing.result()

    async def _store(self, revised: claims.Claim) -> bool:
        try:
            return await self._rows.replace(revised.epoch, revised)
        except (errors.PlatformError, errors.ConflictError) as error:
            _logger.info('task {}: not recorded: {}', revised.task, error)
            return False


def _tasks(asked: typing.Sequence[claims.Claim]) -> set[claims.TaskName]:
    return {claim.task for claim in asked}
