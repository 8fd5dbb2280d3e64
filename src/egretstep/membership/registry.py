"""The backend servers that have registered themselves in the store."""

import logbook

from egretstep import clock, identifiers
from egretstep.backends import connection
from egretstep.settings import deployment

MISSING_ENTRY_SECONDS = 2.2
MAX_REMOVED_SERVERS = 10_000
_logger = logbook.Logger('registry')

ServersById = dict[connection.ServerId, connection.BackendServer]


class ServerRegistry:
    """The registered backend servers.

    A server whose entry disappears is kept for `MISSING_ENTRY_SECONDS`,
    because entries that expire during an outage of the store are registered
    again after it. After a restore of the store an entry may be older than
    the known one; it is ignored, also when the server has left meanwhile.
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._servers: ServersById = {}
        self._removed: ServersById = {}
        self._missing_since: dict[connection.ServerId, float] = {}
        self._revision = 0
        self._by_service: dict[
            deployment.ServiceName, list[connection.BackendServer]
        ] = {}
        self._grouped_revision = 0
        self._zones_out: frozenset[identifiers.ZoneName] = frozenset()
        self._no_work_since: dict[connection.ServerId, float] = {}

    @property
    def revision(self) -> int:
        """Return a number that grows with each change of the servers."""
        self._forget_missing()
        return self._revision

    def update(self, current: ServersById) -> None:
        """Replace the entries by the current ones of the store."""
        now = self._clock.now()
        current = {
            name: self._latest(server)
            for name, server in current.items()
            if self._is_present(server)
        }
        for missing in self._servers.keys() - current.keys():
            if self._missing_since.setdefault(missing, now) == now:
                _logger.info(
                    'entry of server {} is missing from the store', missing
                )
        for name, server in current.items():
            self._missing_since.pop(name, None)
            if self._servers.get(name) != server:
                _logger.info('server is new or has changed: {}', server)
                self._revision += 1
            self._removed.pop(name, None)
        self._servers = {**self._servers, **current}
        self._record_leaving()

    def update_zones_out(self, zones: frozenset[identifiers.ZoneName]) -> None:
        """Replace the availability zones that take no new work."""
        self._zones_out = zones
        self._record_leaving()

    def all(self) -> list[connection.BackendServer]:
        """Return the registered servers of all services."""
        self._forget_missing()
        return list(self._servers.values())

    def of_service(
        self,
        service: deployment.ServiceName,
    ) -> list[connection.BackendServer]:
        """Return the registered servers of a service.

        Each statement asks for them, so that all servers are grouped once
        after a change.
        """
        self._forget_missing()
        if self._grouped_revision != self._revision:
            self._group_by_service()
        return list(self._by_service.get(service, ()))

    def find(
        self,
        server: connection.ServerId,
    ) -> connection.BackendServer | None:
        """Return a server, None if it is not registered."""
        self._forget_missing()
        return self._servers.get(server)

    def has_left(self, server: connection.ServerId) -> bool:
        """Return whether a server said that it drains before its entry went.

        False if this host has not seen its entry.
        """
        removed = self._removed.get(server)
        return removed is not None and removed.is_draining

    def takes_work(self, server: connection.BackendServer) -> bool:
        """Return whether a server should be given new work."""
        return not server.is_draining and server.zone not in self._zones_out

    def no_work_since(self, server: connection.BackendServer) -> float | None:
        """Return the monotonic time since which a server takes no new work.

        It is the time at which this host learned of it; None if the server
        takes work.
        """
        return self._no_work_since.get(server.server)

    def primary_zone(
        self,
        service: deployment.ServiceName,
    ) -> identifiers.ZoneName | None:
        """Return the zone of the server that is registered as primary.

        None if no server of the service is.
        """
        for server in self.of_service(service):
            if server.role is connection.Role.PRIMARY:
                return server.zone
        return None

    def _record_leaving(self) -> None:
        now = self._clock.now()
        self._no_work_since = {
            server.server: self._no_work_since.get(server.server, now)
            for server in self._servers.values()
            if not self.takes_work(server)
        }

    def _is_present(self, server: connection.BackendServer) -> bool:
        """Return whether an entry is not that of a server that has left."""
        removed = self._removed.get(server.server)
        if removed is None or not server.is_same_process(removed):
            return True
        return server.sequence > removed.sequence

    def _latest(
        self, server: connection.BackendServer
    ) -> connection.BackendServer:
        """Return the later one of an entry and the known entry."""
        known = self._servers.get(server.server)
        if known is None or not server.is_older_than(known):
            return server
        return known

    def _group_by_service(self) -> None:
        self._by_service = {}
        for server in self._servers.values():
            self._by_service.setdefault(server.service, []).append(server)
        self._grouped_revision = self._revision

    def _forget_missing(self) -> None:
        limit = self._clock.now() - MISSING_ENTRY_SECONDS
        for server, since in list(self._missing_since.items()):
            if since < limit:
                _logger.info(
                    'server {} is removed: its entry is still missing', server
                )
                del self._missing_since[server]
                self._revision += 1
                self._removed[server] = self._servers.pop(server)
                if len(self._removed) > MAX_REMOVED_SERVERS:
                    del self._removed[next(iter(self._removed))]
