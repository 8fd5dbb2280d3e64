"""Keeps the voters up to date with the hosts that run.

Voters that stay silent or that stop are left out of the next
set, and hosts that run and do not vote are added to it. Whichever host notices
a change writes it; the store lets only one of them succeed.
"""

import asyncio
import contextlib
import random

import logbook

from egretstep import clock, errors, identifiers
from egretstep.membership import (
    directory,
    fencing,
    fleet_links,
    quorum_calls,
    rendezvous,
    voter_watch,
    voters,
)
from egretstep.storage import tables

MIN_CHECK_INTERVAL_SECONDS = 0.5
MAX_CHECK_INTERVAL_SECONDS = 0.7
MAX_JOINING_HOSTS = 64
START_DELAY_SECONDS = 1.0
# A first set of few hosts would be lost with them.
FIRST_SET_PATIENCE_SECONDS = 10.0
RANK_DELAY_SECONDS = 0.6
# A host that has begun a change writes its steps without this delay.
UNFINISHED_DELAY_SECONDS = 2.0
STEP_INTERVAL_SECONDS = 0.25
STEP_INTERVAL_GROWTH = 1.3
MAX_CHANGE_SECONDS = 6.0
RETRY_SECONDS = 2.0
# Longer than most losses of power: hosts that come back need no forced set.
FORCE_AFTER_SECONDS = 30.0
LEAVE_POLL_INTERVAL_SECONDS = 0.05
_logger = logbook.Logger('voters')


class _TooFewVotersError(errors.EgretstepError):
    """A change could not be completed with the hosts that answer."""


_CHANGE_FAILURES = (errors.PlatformError, TimeoutError, _TooFewVotersError)


class VoterChanges:
    """Writes the voter sets in which this host notices a change."""

    def __init__(
        self,
        *,
        hosts: directory.Directory,
        known_voters: voters.KnownVoters,
        calls: quorum_calls.QuorumCalls,
        links: fleet_links.FleetLinks,
        store: tables.Tables,
        time_source: clock.Clock,
    ) -> None:
        self._hosts = hosts
        self._voters = known_voters
        self._calls = calls
        self._store = store
        self._clock = time_source
        self._started_at = time_source.now()
        self._is_leaving = False
        self._check_now = asyncio.Event()
        self._watch = voter_watch.VoterWatch(
            own=hosts.own.host,
            known_voters=known_voters,
            calls=calls,
            links=links,
            time_source=time_source,
        )
        self._blocked_since: float | None = None
        self._adopted_epoch = 0
        self._adopted_at = time_source.now()

    @property
    def is_voter(self) -> bool:
        """Return whether this host is one of the voters."""
        current = self._voters.current
        return current is not None and self._own in current.all_hosts

    @property
    def _own(self) -> identifiers.HostName:
        return self._hosts.own.host

    async def leave(self, deadline: float) -> None:
        """Leave the voters, because this host is stopping.

        Returns when it has left or at `deadline`, a monotonic time in seconds.
        """
        self._is_leaving = True
        self._check_now.set()
        while self.is_voter and self._clock.now() < deadline:
            await asyncio.sleep(LEAVE_POLL_INTERVAL_SECONDS)

    async def run(self) -> None:
        """Check the voters until cancelled."""
        while True:
            await self._wait_for_next_check()
            if self._hosts.is_registered:
                await self._check()

    async def _wait_for_next_check(self) -> None:
        pause = random.uniform(
            MIN_CHECK_INTERVAL_SECONDS, MAX_CHECK_INTERVAL_SECONDS
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause):
                await self._check_now.wait()
        self._check_now.clear()

    async def _check(self) -> None:
        await self._watch.check()
        if not self._is_change_due():
            self._blocked_since = None
            return
        try:
            async with asyncio.timeout(MAX_CHANGE_SECONDS):
                await self._change()
        except errors.ConflictError:
            _logger.info('the voters were changed by another host')
        except _CHANGE_FAILURES as error:
            _logger.warning(
                'the voters of epoch {} could not be changed and are checked '
                'again: {!r}',
                self._voters.epoch,
                error,
            )
            await asyncio.sleep(RETRY_SECONDS)

    def _is_change_due(self) -> bool:
        current = self._voters.current
        now = self._clock.now()
        if current is None:
            return now - self._started_at >= START_DELAY_SECONDS + self._delay()
        if current.epoch != self._adopted_epoch:
            self._adopted_epoch = current.epoch
            self._adopted_at = now
        elapsed = now - self._adopted_at
        if self._voters.is_lost_from_store:
            return elapsed >= self._delay()
        if self._watch.silent & current.target:
            return True
        if current.is_joint:
            return elapsed >= UNFINISHED_DELAY_SECONDS + self._delay()
        if self._is_own_change_due(current):
            return True
        has_stopped = any(map(self._has_stopped, current.target - {self._own}))
        return has_stopped and elapsed >= self._delay()

    def _is_own_change_due(self, current: voters.VoterSet) -> bool:
        if self._is_leaving:
            return self._own in current.target and len(current.target) > 1
        if self._own in current.target:
            return False
        chosen = voters.choose(self._hosts.usable(), current.target)
        return self._own in chosen

    def _delay(self) -> float:
        """Return a delay, in seconds, that differs between the hosts."""
        key = f'{voters.KEY}/{self._voters.epoch}'
        ranked = sorted(
            (host.host for host in self._hosts.usable()),
            key=lambda host: rendezvous.score(key=key, host=host),
        )
        place = ranked.index(self._own) if self._own in ranked else len(ranked)
        return RANK_DELAY_SECONDS * place

    def _has_stopped(self, name: identifiers.HostName) -> bool:
        host = self._hosts.hosts.get(name)
        return host is not None and host.state is not directory.HostState.UP

    async def _change(self) -> None:
        """Write the sets that follow until the voters are those that run."""
        lost = await self._watch.find_lost()
        pause = STEP_INTERVAL_SECONDS
        is_done = False
        while not is_done:
            stored = await self._store.read_row(directory.TABLE, voters.KEY)
            is_done = await self._write_next(stored, lost)
            # The hosts first have to adopt what was written. A host that is
            # cut off from them would ask the store all the time.
            await asyncio.sleep(pause)
            pause *= STEP_INTERVAL_GROWTH

    async def _write_next(
        self, stored: tables.Row, lost: voters.HostNames
    ) -> bool:
        """Write the next set, if it may follow; return whether it is done."""
        latest = voters.decode_row(stored)
        known = self._voters.current
        if known and (latest is None or latest.epoch < known.epoch):
            # The store was restored from a copy.
            await self._write(stored, known, 'lost by the store')
            return True
        if latest is None:
            await self._write_first(stored)
            return True
        if latest.epoch != self._voters.epoch:
            return False
        epochs = await self._find_running(latest.all_hosts)
        if any(epoch > latest.epoch for epoch in epochs.values()):
            return True
        return await self._step(stored, latest, epochs, lost)

    async def _step(
        self,
        stored: tables.Row,
        latest: voters.VoterSet,
        epochs: dict[identifiers.HostName, int],
        lost: voters.HostNames,
    ) -> bool:
        """Write the set that follows `latest`; return whether none does.

        `epochs` holds the latest epoch that each running host knows.
        """
        running = frozenset(epochs)
        target = self._choose_target(latest, lost, running)
        is_complete = target == latest.target and not latest.is_joint
        if is_complete and not self._voters.has_promised:
            return True
        epoch = fencing.next_number(latest.epoch, stored.version.era)
        if not latest.may_be_changed_by(running):
            await self._write(
                stored,
                self._force(latest, running, epoch),
                f'forced, as only {sorted(running)} answer',
            )
            return True
        self._blocked_since = None
        if latest.is_forced and not self._voters.is_usable:
            raise _TooFewVotersError('a forced set does not count yet')
        informed = frozenset(
            host for host, known in epochs.items() if known == latest.epoch
        )
        following = latest.next_step(target, informed, epoch)
        if following is not None:
            await self._write(
                stored, following, _describe(latest.target, target)
            )
        return False

    def _force(
        self, latest: voters.VoterSet, running: voters.HostNames, epoch: int
    ) -> voters.VoterSet:
        """Return a set of the running hosts, after too few have for long.

        Raises `_TooFewVotersError` until then, or if this host may not.
        """
        now = self._clock.now()
        if self._blocked_since is None:
            self._blocked_since = now
        is_due = now - self._blocked_since >= FORCE_AFTER_SECONDS
        is_counted = not latest.is_forced or self._voters.is_usable
        if not (is_due and is_counted and latest.may_be_forced_by(self._own)):
            raise _TooFewVotersError(
                f'of {sorted(latest.all_hosts)} only {sorted(running)} answer'
            )
        self._voters.promise(epoch)
        lost = latest.all_hosts - running
        target = self._choose_target(latest, lost, running)
        return voters.VoterSet(epoch=epoch, groups=(target,), is_forced=True)

    async def _write_first(self, stored: tables.Row) -> None:
        answering = await self._find_running(frozenset())
        registered = self._hosts.up_host_names()
        elapsed = self._clock.now() - self._started_at
        is_early = elapsed < FIRST_SET_PATIENCE_SECONDS
        if is_early and len(answering) * 2 <= len(registered):
            raise _TooFewVotersError(
                f'of {sorted(registered)} only {sorted(answering)} answer'
            )
        candidates = [self._hosts.hosts[host] for host in answering]
        first = voters.VoterSet(
            epoch=fencing.next_number(0, stored.version.era),
            groups=(voters.choose(candidates, frozenset()),),
        )
        await self._write(stored, first, 'there were none')

    def _choose_target(
        self,
        latest: voters.VoterSet,
        lost: voters.HostNames,
        running: voters.HostNames,
    ) -> voters.HostNames:
        """Return the voters that should follow.

        A voter that gave no answer just now stays until it counts as lost.
        """
        excluded = set(lost - running)
        if self._is_leaving:
            excluded.add(self._own)
        names = (latest.target | running) - excluded
        candidates = [
            self._hosts.hosts[name]
            for name in names
            if name in self._hosts.hosts and not self._has_stopped(name)
        ]
        return voters.choose(candidates, latest.target) or latest.target

    async def _find_running(
        self, current: voters.HostNames
    ) -> dict[identifiers.HostName, int]:
        """Return the epoch that each voter and each usable host knows.

        Hosts that do not answer are left out.
        """
        own = self._own
        joining = [
            host.host
            for host in self._hosts.usable()
            if host.host not in current
        ]
        queried = {*current, *joining[:MAX_JOINING_HOSTS]} - {own}
        epochs = await self._calls.voter_epochs(queried)
        return {**epochs, own: self._voters.epoch}

    async def _write(
        self, stored: tables.Row, following: voters.VoterSet, reason: str
    ) -> None:
        await self._store.compare_and_swap(
            directory.TABLE,
            voters.KEY,
            expected=stored.version,
            content=voters.encode(following),
        )
        _logger.info(
            'voters of epoch {} are written: {} (after {}; {})',
            following.epoch,
            [sorted(group) for group in following.groups],
            [sorted(group) for group in following.former_groups],
            reason,
        )


def _describe(former: voters.HostNames, target: voters.HostNames) -> str:
    """Return why voters change, for the log."""
    return f'leave: {sorted(former - target)}, join: {sorted(target - former)}'
