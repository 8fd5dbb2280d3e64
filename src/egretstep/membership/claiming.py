"""Decides which tasks this host should take over.

The hosts of a task are ranked in the same order everywhere. The first one
takes a task that nobody holds. Each of the next ones watches the holder and
takes over when it does not answer, the later in rank the later.
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
    spread,
)

LOOK_SECONDS = 0.1
# A host that no task concerns waits for news of claims and hosts.
IDLE_LOOK_SECONDS = 0.3
WATCH_SECONDS = 0.2
DETECTION_SECONDS = 0.7
RANK_DELAY_SECONDS = 1.0
RETRY_SECONDS = 0.5
SETTLE_SECONDS = 1.0
_logger = logbook.Logger('claiming')


class Prober(typing.Protocol):
    """Finds out whether hosts answer."""

    async def reaches(self, host: identifiers.HostName) -> bool:
        """Tell whether this host gets an answer from another one."""

    async def is_lost(self, host: identifiers.HostName) -> bool:
        """Tell whether a majority answers that most can't reach a host."""


class Claimant:
    """Watches the tasks of the fleet and starts those of this host.

    `wanted` lists the tasks that there are now; `start` is called with each
    claim that this host has won.
    """

    def __init__(
        self,
        *,
        keeper: leases.LeaseKeeper,
        hosts: directory.Directory,
        prober: Prober,
        wanted: typing.Callable[[], typing.Sequence[spread.Task]],
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
        self._look_seconds = LOOK_SECONDS
        self._start = start
        self._clock = time_source
        self._silent_since: dict[identifiers.HostName, float] = {}
        self._started_at = time_source.now()
        self._is_leaving = False
        self._busy: set[claims.TaskName] = set()
        self._watched_at: dict[claims.TaskName, float] = {}

    def leave(self) -> None:
        """Claim nothing more, since this host is stopping."""
        self._is_leaving = True

    async def run(self) -> None:
        """Look at the tasks until cancelled."""
        while True:
            await self._wait_for_news()
            if self._may_claim():
                self._look()

    def _may_claim(self) -> bool:
        if self._is_leaving or not self._hosts.is_registered:
            return False
        return self._keeper.is_synced

    async def _wait_for_news(self) -> None:
        """Wait for the next look; a task that was given cuts it short."""
        given = self._keeper.was_given
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._look_seconds):
                await given.wait()
        given.clear()

    def _look(self) -> None:
        found = self._candidacies.current()
        self._look_seconds = LOOK_SECONDS if found else IDLE_LOOK_SECONDS
        for candidacy in found:
            if self._is_due(candidacy):
                self._busy.add(candidacy.task.name)
                asyncio.ensure_future(self._look_at(candidacy))

    def _is_due(self, candidacy: candidacies.Candidacy) -> bool:
        task = candidacy.task
        if task.name in self._busy:
            return False
        if self._is_own(candidacy.claim):
            return not self._keeper.is_renewing(task.name)
        return self._is_watch_due(task)

    def _is_own(self, claim: claims.Claim | None) -> bool:
        return claim is not None and claim.host == self._hosts.own.host

    async def _look_at(self, candidacy: candidacies.Candidacy) -> None:
        task = candidacy.task
        try:
            await self._consider(candidacy)
        except Exception:
            _logger.exception('task {} could not be looked at', task.name)
        finally:
            self._busy.discard(task.name)

    async def _consider(self, candidacy: candidacies.Candidacy) -> None:
        task = candidacy.task
        claim = candidacy.claim
        rank = candidacy.rank
        if self._is_own(claim):
            await self._take(task, claim, 'this host held it or got it')
            return
        if rank is None:
            return
        if claim is None or claim.host not in self._hosts.hosts:
            delay = SETTLE_SECONDS + rank * RANK_DELAY_SECONDS
            if self._clock.now() - self._started_at > delay:
                await self._take(task, claim, 'nobody holds it')
        elif await self._is_lost(claim, rank):
            await self._take(task, claim, f'{claim.host} does not answer')

    def _is_watch_due(self, task: spread.Task) -> bool:
        now = self._clock.now()
        if now - self._watched_at.get(task.name, 0) < WATCH_SECONDS:
            return False
        self._watched_at[task.name] = now
        return True

    async def _is_lost(self, claim: claims.Claim, rank: int) -> bool:
        now = self._clock.now()
        if await self._prober.reaches(claim.host):
            self._silent_since.pop(claim.host, None)
            return False
        since = self._silent_since.setdefault(claim.host, now)
        delay = DETECTION_SECONDS + rank * RANK_DELAY_SECONDS
        if now - since < delay:
            return False
        return await self._prober.is_lost(claim.host)

    async def _take(
        self,
        task: spread.Task,
        judged: claims.Claim | None,
        reason: str,
    ) -> None:
        _logger.info('claiming task {}: {}', task.name, reason)
        taken = await self._keeper.claim(task.name, judged)
        if taken is None:
            await asyncio.sleep(RETRY_SECONDS)
        else:
            self._start(taken)
