"""Runs the statements that callers or other hosts send to this host."""

import typing

from egretstep import identifiers
from egretstep.backends import answers
from egretstep.membership import registry
from egretstep.pooling import brokers
from egretstep.pooling import work as work_module
from egretstep.settings import deployment

NOT_OWNER = 'this host does not own the service'
RETRY_MS = 100


class Owner(typing.Protocol):
    """What serves the primary of a service on this host."""

    async def execute(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
    ) -> answers.Answer:
        """Run a statement at the primary."""


class Floors(typing.Protocol):
    """Tells how far a replica must be."""

    async def settled_floor(
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
        owner: typing.Callable[[deployment.ServiceName], Owner | None],
        floors: typing.Callable[[deployment.ServiceName], Floors],
    ) -> None:
        self._brokers = broker_table
        self._servers = servers
        self._owner = owner
        self._floors = floors

    async def execute(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
    ) -> answers.Answer:
        """Run a statement and return its final answer."""
        if work.server:
            return await self._execute_at_replica(work, link)
        owner = self._owner(work.service)
        if owner is None:
            return answers.refusal(
                answers.Code.OVERLOADED,
                NOT_OWNER,
                retry_after_ms=RETRY_MS,
            )
        return await owner.execute(work, link)

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
        floor = await self._floors(work.service).settled_floor(staleness)
        if floor is None:
            return answers.refusal(
                answers.Code.BEHIND,
                'nothing is known of what was acknowledged lately',
            )
        return await broker.execute(work, link, max(floor, work.floor))
