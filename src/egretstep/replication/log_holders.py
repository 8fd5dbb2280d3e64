"""The servers of a service that may hold commits which no other server has.

A replica counts for the acknowledgement of a commit as long as the primary
sends to it, whether or not its entry is in the store. So a server that was
registered once is a log holder until there is a proof that it is none any more:
it does not run, and another replica has every commit acknowledged until then.
The holders are part of the record that owners leave to each other.

Load pattern: a replica can't reach the store, and the primary is lost.
"""

import dataclasses
import typing

import logbook

from egretstep import clock, identifiers
from egretstep.backends import connection
from egretstep.membership import registry
from egretstep.replication import primary_record, server_probe
from egretstep.settings import deployment

CHECK_INTERVAL_SECONDS = 1.0
# A server that neither reports nor answers for so long runs no more.
MAX_SILENCE_SECONDS = 30.0
_NO_ZONE = identifiers.ZoneName('')
_logger = logbook.Logger('succession')


class LogHolders:
    """Keeps the log holders in the record of the primary up to date.

    A service without synchronous replicas promises nothing that they could
    break, so that none are recorded for it.
    """

    def __init__(
        self,
        *,
        servers: registry.ServerRegistry,
        probe: server_probe.ServerProbe,
        current_deployment: typing.Callable[[], deployment.Deployment],
        time_source: clock.Clock,
    ) -> None:
        self._servers = servers
        self._probe = probe
        self._current_deployment = current_deployment
        self._clock = time_source
        self._checked_at = float('-inf')
        self._silent_since: dict[tuple[connection.ServerId, int], float] = {}

    def are_recorded(self, service: deployment.ServiceName) -> bool:
        """Return whether the log holders of a service are recorded."""
        current = self._current_deployment().services.get(service)
        return current is not None and current.sync_replicas > 0

    def add_registered(
        self,
        service: deployment.ServiceName,
        record: primary_record.PrimaryRecord,
    ) -> primary_record.PrimaryRecord:
        """Return a record with the registered servers as log holders too."""
        if not self.are_recorded(service):
            return dataclasses.replace(record, log_holders=())
        known = {each.process: each for each in record.log_holders}
        for server in self._servers.of_service(service):
            known[server.process] = primary_record.LogHolder(
                server=server.server,
                address=server.address,
                started_ms=server.started_ms,
            )
        ordered = tuple(known[process] for process in sorted(known))
        return dataclasses.replace(record, log_holders=ordered)

    def unregistered(
        self,
        service: deployment.ServiceName,
        record: primary_record.PrimaryRecord,
    ) -> list[connection.BackendServer]:
        """Return the log holders without an entry, at their last addresses.

        A process whose server has started again is not among them: the new one
        would answer in its place.
        """
        registered = {
            server.server for server in self._servers.of_service(service)
        }
        return [
            _at_last_address(service, each)
            for each in record.log_holders
            if each.server not in registered
        ]

    def find(
        self,
        service: deployment.ServiceName,
        record: primary_record.PrimaryRecord,
        name: connection.ServerId,
    ) -> connection.BackendServer | None:
        """Return a server that is registered or a log holder."""
        known = [
            *self._servers.of_service(service),
            *self.unregistered(service, record),
        ]
        return next((each for each in known if each.server == name), None)

    def is_check_due(
        self,
        service: deployment.ServiceName,
        record: primary_record.PrimaryRecord,
    ) -> bool:
        """Return whether to look for holders that are none any more."""
        registered = {
            server.process for server in self._servers.of_service(service)
        }
        if all(each.process in registered for each in record.log_holders):
            return False
        now = self._clock.now()
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return False
        self._checked_at = now
        return True

    async def drop_gone(
        self,
        service: deployment.ServiceName,
        record: primary_record.PrimaryRecord,
        acknowledged: typing.Callable[[], identifiers.LogPosition | None],
    ) -> primary_record.PrimaryRecord:
        """Return a record without the holders that are proved to be none.

        `acknowledged` returns a position that covers every acknowledged
        commit.
        """
        gone = self._restarted(service, record)
        lapsed = self.unregistered(service, record)
        self._silent_since = {
            process: since
            for process, since in self._silent_since.items()
            if any(server.process == process for server in lapsed)
        }
        for server in lapsed:
            is_recorded = server.server == record.server
            if not is_recorded and await self._has_ended(server):
                gone.add(server.process)
        if not gone or not await self._is_held_elsewhere(
            service, record, acknowledged()
        ):
            return record
        _logger.info(
            'service {}: {} run no more, and a replica has what was '
            'acknowledged until then; they count for no promotion any more',
            service,
            sorted(gone),
        )
        remaining = tuple(
            each for each in record.log_holders if each.process not in gone
        )
        return dataclasses.replace(record, log_holders=remaining)

    def _restarted(
        self,
        service: deployment.ServiceName,
        record: primary_record.PrimaryRecord,
    ) -> set[tuple[connection.ServerId, int]]:
        """Return the processes whose servers are registered with another one."""
        current = {
            server.server: server.process
            for server in self._servers.of_service(service)
        }
        return {
            each.process
            for each in record.log_holders
            if current.get(each.server, each.process) != each.process
        }

    async def _has_ended(self, server: connection.BackendServer) -> bool:
        """Return whether a server without an entry does not run any more."""
        liveness = await self._probe.check_liveness(server)
        if liveness.is_alive:
            self._silent_since.pop(server.process, None)
            return False
        if liveness.is_other_server or self._servers.has_left(server.server):
            return True
        now = self._clock.now()
        since = self._silent_since.setdefault(server.process, now)
        return now - since >= MAX_SILENCE_SECONDS

    async def _is_held_elsewhere(
        self,
        service: deployment.ServiceName,
        record: primary_record.PrimaryRecord,
        acknowledged: identifiers.LogPosition | None,
    ) -> bool:
        replicas = [
            server
            for server in self._servers.of_service(service)
            if server.server != record.server
        ]
        found = await self._probe.find_candidates(replicas)
        return acknowledged is not None and any(
            each.status.received >= acknowledged for each in found
        )


def _at_last_address(
    service: deployment.ServiceName, holder: primary_record.LogHolder
) -> connection.BackendServer:
    return connection.BackendServer(
        server=holder.server,
        service=service,
        address=holder.address,
        zone=_NO_ZONE,
        slots=1,
        role=connection.Role.REPLICA,
        started_ms=holder.started_ms,
    )
