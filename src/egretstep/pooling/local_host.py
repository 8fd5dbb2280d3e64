"""Runs the statements that callers or other hosts send to this host.

Load pattern: a service has just been handed to this host, and all hosts send
its statements here before it serves. They wait for the moment that it takes.
"""

import asyncio
import contextlib
import typing

from egretstep import clock, identifiers
from egretstep.backends import answers
from egretstep.membership import registry
from egretstep.pooling import brokers, verdicts
from egretstep.pooling import work as work_module
from egretstep.settings import deployment

ARRIVAL_SECONDS = 0.5
ARRIVAL_POLL_SECONDS = 0.005


class Owner(typing.Protocol):
    """What serves the primary of a service on this host."""

    async def execute(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
    ) -> answers.Answer:
        """Run a statement at the primary."""

    @property
    def is_over(self) -> bool:
        """Tell whether the service has got another owner."""


class Owners(typing.Protocol):
    """Knows which services this host owns."""

    def owner(self, service: deployment.ServiceName) -> Owner | None:
        """Return the owner of a service, if it is this host."""

    def is_arriving(self, service: deployment.ServiceName) -> bool:
        """Tell whether a service was handed to this host just now."""

    def starts_in(self, service: deployment.ServiceName) -> float:
        """Return the seconds until this host takes a lost service over.

        Zero means that it is not about to.
        """


class Floors(typing.Protocol):
    """Tells how far a replica must be."""

    async def fetch_floor(
        self,
        max_staleness: float,
    ) -> identifiers.LogPosition | None:
        """Return the position that data of an accepted age must include."""


class LocalHost:
    """Finds the owner or broker on this host that runs a statement."""

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

    async def execute(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
    ) -> answers.Answer:
        """Run a statement and return its final answer."""
        if work.server:
            return await self._execute_at_replica(work, link)
        owner = self._serving(work.service)
        if owner is None:
            await self._wait_arrived(work.service)
            owner = self._serving(work.service)
        if owner is None:
            return self._refuse_unowned(work.service)
        return await owner.execute(work, link)

    def _serving(self, service: deployment.ServiceName) -> Owner | None:
        owner = self._owners.owner(service)
        return None if owner is None or owner.is_over else owner

    def _refuse_unowned(
        self,
        service: deployment.ServiceName,
    ) -> answers.Answer:
        remaining = self._owners.starts_in(service)
        if not remaining:
            return verdicts.moved()
        return answers.refusal(
            answers.Code.OVERLOADED,
            'this host is taking the service over',
            retry_after_ms=clock.to_milliseconds(remaining),
        )

    async def _wait_arrived(self, service: deployment.ServiceName) -> None:
        """Wait, but not for long, for a service that was handed over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ARRIVAL_SECONDS):
                while self._owners.is_arriving(service):
                    await asyncio.sleep(ARRIVAL_POLL_SECONDS)

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
