"""Connection pools and queues of all servers of an owned database."""

import asyncio

from egretstep import clock, identifiers
from egretstep.pooling import connections, fair_queue, queueing
from egretstep.replication import group
from egretstep.settings import schema


class ServerPool:
    """The connections and the fair queue of one server."""

    def __init__(
        self,
        *,
        server_connections: connections.ServerConnections,
        queue: fair_queue.FairQueue,
    ) -> None:
        self.connections = server_connections
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
                server_connections=connections.ServerConnections(
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
        """Return the pool of a server; raises `KeyError` if unknown."""
        return self._pools[server]

    async def warm(self, term: identifiers.Term) -> None:
        """Open one connection per slot at each server, bound to a term."""
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
