"""The brokers of this host, one for each server that it uses."""

import typing

from egretstep import clock
from egretstep.backends import connection
from egretstep.pooling import broker, usage_hook
from egretstep.pooling import work as work_module
from egretstep.settings import deployment

BROKER_IDLE_SECONDS = 10.0
DEFAULT_CONNECTION_LIMIT = 8


class BrokerTable:
    """Creates brokers on first use and closes idle ones.

    `current_deployment` returns the configuration in force, and `usage` counts
    the statements of workspaces.
    """

    def __init__(
        self,
        *,
        opener: connection.Opener,
        current_deployment: typing.Callable[[], deployment.Deployment],
        time_source: clock.Clock,
        usage: usage_hook.UsageRecorder = usage_hook.UNCOUNTED,
    ) -> None:
        self._opener = opener
        self._usage = usage
        self._current_deployment = current_deployment
        self._clock = time_source
        self._brokers: dict[connection.ServerId, broker.Broker] = {}

    def get(self, server: connection.BackendServer) -> broker.Broker:
        """Return the broker of a server, which is created on first use.

        A server that was restarted, or that came back under its id at
        another address, gets a new broker.
        """
        existing = self._brokers.get(server.server)
        if existing is not None and _is_same_process(existing.server, server):
            return existing
        if existing is not None:
            existing.close()
        service = self._current_deployment().services.get(server.service)
        limit = DEFAULT_CONNECTION_LIMIT
        if service is not None:
            limit = service.connection_limit
        created = broker.Broker(
            server=server,
            opener=self._opener,
            connection_limit=limit,
            time_source=self._clock,
            usage=self._usage,
        )
        self._brokers[server.server] = created
        return created

    def release(
        self,
        link: work_module.LinkId,
        pin_id: typing.Any,
    ) -> None:
        """Roll back the transaction of a caller that has disconnected."""
        for each in self._brokers.values():
            each.release_pin((link, pin_id))

    def release_link(self, link: work_module.LinkId) -> None:
        """Roll back the transactions of a host whose link is closed."""
        for each in self._brokers.values():
            each.release_link(link)

    def stop_reuse_of_foreign_primaries(
        self,
        servers: typing.Iterable[connection.BackendServer],
        is_owner: typing.Callable[[deployment.ServiceName], bool],
    ) -> None:
        """Close idle connections to primaries that other hosts own.

        `is_owner` tells whether this host owns a service.
        """
        for server in servers:
            existing = self._brokers.get(server.server)
            if existing is None:
                continue
            is_primary = server.role is connection.Role.PRIMARY
            if is_primary and not is_owner(server.service):
                existing.stop_reuse()
            else:
                existing.connections.allow_reuse()

    def sweep(self) -> None:
        """Sweep the brokers and close the idle ones."""
        idle_limit_seconds = self._current_deployment().transaction_idle
        limit = self._clock.now() - BROKER_IDLE_SECONDS
        for name, each in list(self._brokers.items()):
            each.sweep(idle_limit_seconds)
            if each.is_idle and each.used_at < limit:
                each.close()
                del self._brokers[name]

    def interrupt(self, reason: str) -> None:
        """End all statements, and roll back the open transactions."""
        for each in self._brokers.values():
            each.interrupt(lambda _work: True, reason)

    def close(self) -> None:
        """Close all brokers."""
        for each in self._brokers.values():
            each.close()


def _is_same_process(
    first: connection.BackendServer,
    second: connection.BackendServer,
) -> bool:
    return (first.address, first.started_ms) == (
        second.address,
        second.started_ms,
    )
