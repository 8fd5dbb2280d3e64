"""Decides which tasks this host claims.

Every host computes the same ranking of candidates for a task. The candidates
probe the holder, and claim the task when the holder has failed or no host
holds it. They also claim the task of a process that has ended: its host has
started again, but may not know of a claim that the store has lost. Each
candidate waits longer than the one ranked before it, so that usually only the
first one claims.
"""

import asyncio
import contextlib
import typing

import logbook

from egretstep import clock, identifiers
from egretstep.membership import (
    candidacies,
    claims,
    directory,
    leases,
    task_ranking,
)

CHECK_INTERVAL_SECONDS = 0.1
# A host without candidacies only has to notice changes.
IDLE_CHECK_INTERVAL_SECONDS = 0.3
PROBE_INTERVAL_SECONDS = 0.2
FAILURE_DETECTION_SECONDS = 0.7
RANK_DELAY_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.5
STARTUP_DELAY_SECONDS = 1.0
# Longer than a host that has started again takes to claim its task itself.
RESTARTED_HOLDER_DELAY_SECONDS = 2.0
_logger = logbook.Logger('claiming')


class Prober(typing.Protocol):
    """Checks whether hosts answer."""

    async def reaches(self, host: identifiers.HostName) -> bool:
        """Return whether another host answers this one."""

    async def is_lost(self, host: identifiers.HostName) -> bool:
        """Return whether a majority of hosts agrees that a host is lost."""


class _HolderTimes:
    """For how long something has been true of the holder of each task.

    A later claim of a task starts anew: it may be of another process.
    """

    def __init__(self) -> None:
        self._epochs: dict[claims.TaskName, int] = {}
        self._since: dict[claims.TaskName, float] = {}

    def elapsed(self, claim: claims.Claim, now: float) -> float:
        """Return the seconds since the first call for the claim's epoch."""
        if self._epochs.get(claim.task) != claim.epoch:
            self._epochs[claim.task] = claim.epoch
            self._since[claim.task] = now
        return now - self._since[claim.task]

    def reset(self, task: claims.TaskName) -> None:
        """Record that it is no longer true."""
        self._epochs.pop(task, None)


class Claimant:
    """Claims tasks for this host and starts those that it has claimed.

    `wanted` returns the current tasks of the fleet; `start` is called with
    each claim that this host has obtained.
    """

    def __init__(
        self,
        *,
        keeper: leases.LeaseKeeper,
        hosts: directory.Directory,
        prober: Prober,
        wanted: typing.Callable[[], typing.Sequence[task_ranking.Task]],
        start: typing.Callable[[claims.Claim], None],
        time_source: clock.Clock,
    ) -> None:
        self._keeper = keeper
        self._hosts = hosts
        self._prober = prober
        self._candidacies = candidacies.Candidacies(
            keeper=keeper,
            hosts=hosts,
            wanted=wanted,
        )
        self._check_interval_seconds = CHECK_INTERVAL_SECONDS
        self._start = start
        self._clock = time_source
        self._unreachable = _HolderTimes()
        self._restarted = _HolderTimes()
        self._started_at = time_source.now()
        self._is_leaving = False
        self._in_progress: set[claims.TaskName] = set()
        self._probed_at: dict[claims.TaskName, float] = {}

    def leave(self) -> None:
        """Stop claiming tasks, because this host is stopping."""
        self._is_leaving = True

    async def run(self) -> None:
        """Check the tasks of the fleet until cancelled."""
        while True:
            await self._wait_for_next_check()
            if self._may_claim():
                self._check_tasks()

    def _may_claim(self) -> bool:
        if self._is_leaving or not self._hosts.is_registered:
            return False
        return self._keeper.is_synced

    async def _wait_for_next_check(self) -> None:
        """Wait for the check interval, or until a task is handed over."""
        task_received = self._keeper.task_received
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._check_interval_seconds):
                await task_received.wait()
        task_received.clear()

    def _check_tasks(self) -> None:
        relevant = self._candidacies.current()
        self._check_interval_seconds = (
            CHECK_INTERVAL_SECONDS if relevant else IDLE_CHECK_INTERVAL_SECONDS
        )
        for candidacy in relevant:
            if self._is_due(candidacy):
                self._in_progress.add(candidacy.task.name)
                asyncio.ensure_future(self._check_task(candidacy))

    def _is_due(self, candidacy: candidacies.Candidacy) -> bool:
        task = candidacy.task
        if task.name in self._in_progress:
            return False
        if self._is_own(candidacy.claim):
            return not self._keeper.is_renewing(task.name)
        return self._is_probe_due(task)

    def _is_own(self, claim: claims.Claim | None) -> bool:
        return claim is not None and claim.host == self._hosts.own.host

    async def _check_task(self, candidacy: candidacies.Candidacy) -> None:
        task = candidacy.task
        try:
            await self._claim_if_due(candidacy)
        except Exception:
            _logger.exception('checking task {} failed', task.name)
        finally:
            self._in_progress.discard(task.name)

    async def _claim_if_due(self, candidacy: candidacies.Candidacy) -> None:
        task = candidacy.task
        claim = candidacy.claim
        rank = candidacy.rank
        if self._is_own(claim):
            await self._claim(
                task,
                claim,
                'this host held it or got it',
            )
            return
        if rank is None:
            return
        if claim is None or claim.host not in self._hosts.hosts:
            delay = STARTUP_DELAY_SECONDS + rank * RANK_DELAY_SECONDS
            if self._clock.now() - self._started_at > delay:
                await self._claim(task, claim, 'nobody holds it')
        elif self._has_holder_restarted(claim, rank):
            reason = f'{claim.host} has restarted and did not claim it again'
            await self._claim(task, claim, reason)
        elif await self._is_holder_down(claim, rank):
            await self._claim(task, claim, f'{claim.host} does not answer')

    def _is_probe_due(self, task: task_ranking.Task) -> bool:
        now = self._clock.now()
        if now - self._probed_at.get(task.name, 0) < PROBE_INTERVAL_SECONDS:
            return False
        self._probed_at[task.name] = now
        return True

    def _has_holder_restarted(self, claim: claims.Claim, rank: int) -> bool:
        """Return whether the process that held a task ended long ago."""
        if self._hosts.hosts[claim.host].boot <= claim.boot:
            return False
        delay = RESTARTED_HOLDER_DELAY_SECONDS + rank * RANK_DELAY_SECONDS
        return self._restarted.elapsed(claim, self._clock.now()) >= delay

    async def _is_holder_down(self, claim: claims.Claim, rank: int) -> bool:
        now = self._clock.now()
        if await self._prober.reaches(claim.host):
            self._unreachable.reset(claim.task)
            return False
        delay = FAILURE_DETECTION_SECONDS + rank * RANK_DELAY_SECONDS
        if self._unreachable.elapsed(claim, now) < delay:
            return False
        return await self._prober.is_lost(claim.host)

    async def _claim(
        self,
        task: task_ranking.Task,
        observed: claims.Claim | None,
        reason: str,
    ) -> None:
        _logger.info('claiming task {}: {}', task.name, reason)
        new_claim = await self._keeper.claim(task.name, observed)
        if new_claim is None:
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        else:
            self._start(new_claim)
