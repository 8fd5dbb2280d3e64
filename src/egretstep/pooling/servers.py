"""Connections and queues of all servers of an owned database."""

import asyncio

from egretstep import clock, identifiers
from egretstep.pooling import connections, fair_queue, queueing
from egretstep.replication import group
from egretstep.settings import schema


class ServerPool:
    """Connections and the queue of one server."""

    def __init__(
        self,
        *,
        opened: connections.ServerConnections,
        queue: fair_queue.FairQueue,
    ) -> None:
        self.connections = opened
        self.queue = queue


class ServerPools:
    """One `ServerPool` for each server of a database."""

    def __init__(
        self,
        *,
        database_group: group.DatabaseGroup,
        settings: schema.Database,
        owner: str,
        queue_policy: queueing.QueuePolicy,
        time_source: clock.Clock,
    ) -> None:
        self._slots = settings.slots
        self._pools = {
            name: ServerPool(
                opened=connections.ServerConnections(
                    server=name,
                    endpoint=endpoint,
                    owner=owner,
                    limit=settings.connections,
                ),
                queue=fair_queue.FairQueue(
                    slots=settings.slots,
                    time_source=time_source,
                    policy=queue_policy,
                ),
            )
            for name, endpoint in database_group.endpoints.items()
        }

    def __getitem__(self, server: identifiers.ServerName) -> ServerPool:
        """Return the pool of one server."""
        return self._pools[server]

    async def warm(self, term: identifiers.Term) -> None:
        """Open as many connections as there are slots."""
        await asyncio.gather(
            *(
                pool.connections.warm(self._slots, term)
                for pool in self._pools.values()
            ),
        )

    def close(self) -> None:
        """Close the idle connections to all servers."""
        for pool in self._pools.values():
            pool.connections.close()
