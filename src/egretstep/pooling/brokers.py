"""The brokers of this host, by server."""

import typing

from egretstep import clock
from egretstep.backends import connection
from egretstep.pooling import broker
from egretstep.pooling import work as work_module
from egretstep.settings import deployment

IDLE_SECONDS = 10.0
DEFAULT_CONNECTION_LIMIT = 8


class BrokerTable:
    """Brokers, made on first use and dropped when they rest."""

    def __init__(
        self,
        *,
        opener: connection.Opener,
        current: typing.Callable[[], deployment.Deployment],
        time_source: clock.Clock,
    ) -> None:
        self._opener = opener
        self._current = current
        self._clock = time_source
        self._brokers: dict[connection.ServerId, broker.Broker] = {}

    def get(self, server: connection.BackendServer) -> broker.Broker:
        """Return the broker of a server, made on first use.

        A server that came back under its id at another address, or after a
        restart, gets a new one.
        """
        known = self._brokers.get(server.server)
        if known is not None and _is_same(known.server, server):
            return known
        if known is not None:
            known.close()
        service = self._current().services.get(server.service)
        limit = DEFAULT_CONNECTION_LIMIT
        if service is not None:
            limit = service.connection_limit
        made = broker.Broker(
            server=server,
            opener=self._opener,
            connection_limit=limit,
            time_source=self._clock,
        )
        self._brokers[server.server] = made
        return made

    def release(
        self,
        link: work_module.LinkId,
        pin_id: typing.Any,
    ) -> None:
        """Roll back the transaction of a caller that has left."""
        for each in self._brokers.values():
            each.release_pin((link, pin_id))

    def release_link(self, link: work_module.LinkId) -> None:
        """Roll back the transactions of a host that is gone."""
        for each in self._brokers.values():
            each.release_link(link)

    def retire_primaries(
        self,
        servers: typing.Iterable[connection.BackendServer],
        is_owner: typing.Callable[[deployment.ServiceName], bool],
    ) -> None:
        """Give up connections to servers that others own as primaries."""
        for server in servers:
            known = self._brokers.get(server.server)
            if known is None:
                continue
            is_primary = server.role is connection.Role.PRIMARY
            if is_primary and not is_owner(server.service):
                known.retire()
            else:
                known.connections.revive()

    def sweep(self) -> None:
        """End idle transactions and close brokers that rest."""
        longest = self._current().transaction_idle
        limit = self._clock.now() - IDLE_SECONDS
        for name, each in list(self._brokers.items()):
            each.end_idle_transactions(longest)
            each.connections.sweep()
            if each.is_idle and each.used_at < limit:
                each.close()
                del self._brokers[name]

    def close(self) -> None:
        """Close everything."""
        for each in self._brokers.values():
            each.close()


def _is_same(
    first: connection.BackendServer,
    second: connection.BackendServer,
) -> bool:
    return (first.address, first.started_ms) == (
        second.address,
        second.started_ms,
    )
