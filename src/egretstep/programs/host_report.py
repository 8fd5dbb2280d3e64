"""What a host of the fleet believes, as a page for operators.

It is served beside the metrics, as JSON. Keys of workspaces are left out.
"""

import dataclasses
import typing

import orjson

from egretstep import clock
from egretstep.backends import connection
from egretstep.membership import claims, directory, leases, registry
from egretstep.settings import configuration_follower, deployment
from egretstep.web import endpoint

PATH = '/status'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostLine:
    """A host of the fleet, and whether this one sends it work."""

    host: str
    zone: str
    state: str
    boot: int
    is_usable: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskLine:
    """Who holds a task, and for how long if it is this host."""

    task: str
    host: str
    epoch: int
    is_settled: bool
    lease_left_s: float | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerLine:
    """A backend server, and whether it is to get new work."""

    server: str
    service: str
    zone: str
    role: str
    takes_work: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteLine:
    """A database that callers use, with where each value comes from."""

    database: str
    service: str
    consistency: str
    timeout_s: float
    max_staleness_s: float | None
    connection_limit: int | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkspaceLine:
    """A workspace with its rate a second and its burst."""

    workspace: str
    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """All that a host believes now."""

    host: str
    zone: str
    boot: int
    is_ready: bool
    settings_version: int
    settings_source: str
    zones_out: list[str]
    hosts: list[HostLine]
    tasks: list[TaskLine]
    servers: list[ServerLine]
    routes: list[RouteLine]
    workspaces: list[WorkspaceLine]


class Reporter:
    """Makes the report of this host."""

    def __init__(
        self,
        *,
        hosts: directory.Directory,
        keeper: leases.LeaseKeeper,
        servers: registry.ServerRegistry,
        configuration: configuration_follower.ConfigurationFollower,
        is_ready: typing.Callable[[], bool],
    ) -> None:
        self._hosts = hosts
        self._keeper = keeper
        self._servers = servers
        self._configuration = configuration
        self._is_ready = is_ready

    def page(self) -> endpoint.Page:
        """Return the report as JSON."""
        return endpoint.Page(
            status=endpoint.OK,
            body=orjson.dumps(self.report()),
            content_type='application/json',
        )

    def report(self) -> Report:
        """Return what this host believes now."""
        current = self._configuration.current
        own = self._hosts.own
        return Report(
            host=own.host,
            zone=own.zone,
            boot=own.boot,
            is_ready=self._is_ready(),
            settings_version=current.version,
            settings_source=self._configuration.source,
            zones_out=sorted(current.zones_out),
            hosts=[self._host(each) for each in self._hosts.hosts.values()],
            tasks=[self._task(each) for each in self._keeper.known.values()],
            servers=[self._server(each) for each in self._servers.all()],
            routes=[_route(each, current) for each in current.routes.values()],
            workspaces=[
                WorkspaceLine(
                    workspace=each.name, rate=each.rate, burst=each.burst
                )
                for each in current.workspaces.values()
            ],
        )

    def _host(self, host: directory.Host) -> HostLine:
        return HostLine(
            host=host.host,
            zone=host.zone,
            state=host.state.value,
            boot=host.boot,
            is_usable=self._hosts.is_usable(host.host),
        )

    def _task(self, claim: claims.Claim) -> TaskLine:
        left = None
        if self._keeper.is_mine(claim):
            seconds = self._keeper.remaining_lease(claim.task)
            left = clock.to_seconds(clock.to_milliseconds(seconds))
        return TaskLine(
            task=claim.task,
            host=claim.host,
            epoch=claim.epoch,
            is_settled=claim.is_settled,
            lease_left_s=left,
        )

    def _server(self, server: connection.BackendServer) -> ServerLine:
        return ServerLine(
            server=server.server,
            service=server.service,
            zone=server.zone,
            role=server.role.value,
            takes_work=self._servers.takes_work(server),
        )


def _route(
    route: deployment.Route,
    current: deployment.Deployment,
) -> RouteLine:
    service = current.services.get(route.service)
    return RouteLine(
        database=route.database,
        service=route.service,
        consistency=route.consistency.value,
        timeout_s=route.timeout,
        max_staleness_s=route.max_staleness,
        connection_limit=service.connection_limit if service else None,
    )
