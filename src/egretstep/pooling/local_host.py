"""Runs the statements that callers or other hosts send to this host.

Load pattern: a service has just been handed over to this host, and all hosts
send its statements here before this host serves it. These statements wait
briefly instead of being refused. A service whose server is far too slow may
not hold so many statements that the host's other services suffer.
"""

import asyncio
import collections
import contextlib
import random
import typing

from egretstep import clock, identifiers
from egretstep.backends import answers
from egretstep.membership import registry
from egretstep.observability import metrics
from egretstep.pooling import brokers, failure_answers
from egretstep.pooling import work as work_module
from egretstep.settings import deployment

HANDOVER_WAIT_SECONDS = 0.5
HANDOVER_POLL_INTERVAL_SECONDS = 0.005
# A slot runs 250 statements of 4 ms in a second, which is how long the
# statements of a service may wait for a planned change of its primary.
HELD_PER_SLOT = 250
MIN_FULL_RETRY_AFTER_MS = 1000
MAX_FULL_RETRY_AFTER_MS = 1500


class Owner(typing.Protocol):
    """Runs statements at the primary of a service that this host owns."""

    async def execute(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
    ) -> answers.Answer:
        """Run a statement at the primary and return its final answer."""

    @property
    def is_over(self) -> bool:
        """Tell whether this host no longer owns the service."""


class Owners(typing.Protocol):
    """Tells which services this host owns or is about to own."""

    def owner(self, service: deployment.ServiceName) -> Owner | None:
        """Return the owner of a service, or None if it isn't this host."""

    def is_handover_pending(self, service: deployment.ServiceName) -> bool:
        """Tell whether this host was given a service but doesn't serve yet."""

    def time_until_start(self, service: deployment.ServiceName) -> float:
        """Return the seconds until this host takes over a service.

        Zero means that no takeover is pending.
        """


class Floors(typing.Protocol):
    """Tells which position a replica must have applied for a read."""

    async def fetch_floor(
        self,
        max_staleness: float,
    ) -> identifiers.LogPosition | None:
        """Return the position that a read of bounded staleness must see.

        `max_staleness` is in seconds. None means that the position is not
        known.
        """


class LocalHost:
    """Passes a statement to the owner or the broker that runs it."""

    def __init__(
        self,
        *,
        broker_table: brokers.BrokerTable,
        servers: registry.ServerRegistry,
        owners: Owners,
        floors: typing.Callable[[deployment.ServiceName], Floors],
    ) -> None:
        self._brokers = broker_table
        self._servers = servers
        self._owners = owners
        self._floors = floors
        self._held: collections.Counter[deployment.ServiceName] = (
            collections.Counter()
        )

    @property
    def held_count(self) -> int:
        """Return how many statements run or wait on this host."""
        return self._held.total()

    async def execute(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
    ) -> answers.Answer:
        """Run a statement and return its final answer.

        A statement that names a server runs at that replica, any other one
        at the primary of its service. Those of open transactions are always
        run, because they may hold locks.
        """
        is_full = self._held[work.service] >= self._held_limit(work.service)
        if is_full and not work.is_pinned:
            return _refusal_when_full(work)
        self._held[work.service] += 1
        try:
            return await self._execute(work, link)
        finally:
            self._release(work.service)

    def _release(self, service: deployment.ServiceName) -> None:
        """Count a statement less; a service without one is forgotten."""
        self._held[service] -= 1
        if not self._held[service]:
            del self._held[service]

    def _held_limit(self, service: deployment.ServiceName) -> int:
        """Return how many statements of a service this host holds at most."""
        slots = sum(each.slots for each in self._servers.of_service(service))
        return HELD_PER_SLOT * max(1, slots)

    async def _execute(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
    ) -> answers.Answer:
        if work.server:
            return await self._execute_at_replica(work, link)
        owner = self._serving_owner(work.service)
        if owner is None:
            await self._wait_for_handover(work.service)
            owner = self._serving_owner(work.service)
        if owner is None:
            return self._refusal_without_owner(work.service)
        return await owner.execute(work, link)

    def _serving_owner(self, service: deployment.ServiceName) -> Owner | None:
        owner = self._owners.owner(service)
        return None if owner is None or owner.is_over else owner

    def _refusal_without_owner(
        self,
        service: deployment.ServiceName,
    ) -> answers.Answer:
        remaining = self._owners.time_until_start(service)
        if not remaining:
            return failure_answers.moved()
        return answers.refusal(
            answers.Code.OVERLOADED,
            'this host is taking the service over',
            retry_after_ms=clock.to_milliseconds(remaining),
        )

    async def _wait_for_handover(self, service: deployment.ServiceName) -> None:
        """Wait for a service that is being handed over to this host.

        Returns after `HANDOVER_WAIT_SECONDS` at the latest.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HANDOVER_WAIT_SECONDS):
                while self._owners.is_handover_pending(service):
                    await asyncio.sleep(HANDOVER_POLL_INTERVAL_SECONDS)

    async def _execute_at_replica(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
    ) -> answers.Answer:
        server = self._servers.find(work.server)
        if server is None:
            return answers.refusal(
                answers.Code.OVERLOADED,
                f'server {work.server} is not known',
            )
        broker = self._brokers.get(server)
        if work.is_pinned:
            return await broker.execute(work, link)
        if not self._servers.takes_work(server):
            return answers.refusal(
                answers.Code.OVERLOADED,
                f'server {work.server} is leaving',
            )
        staleness = work.max_staleness or 0
        floor = await self._floors(work.service).fetch_floor(staleness)
        if floor is None:
            return answers.refusal(
                answers.Code.BEHIND,
                'nothing is known of what was acknowledged lately',
            )
        return await broker.execute(work, link, max(floor, work.floor))


def _refusal_when_full(work: work_module.Work) -> answers.Answer:
    """Return a refusal; the refused callers do not all return at once."""
    metrics.refusals.inc(work.workspace, 'host full')
    return answers.refusal(
        answers.Code.OVERLOADED,
        f'this host holds too many statements of service {work.service}',
        retry_after_ms=random.randint(
            MIN_FULL_RETRY_AFTER_MS, MAX_FULL_RETRY_AFTER_MS
        ),
    )
