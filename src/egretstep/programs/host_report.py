"""Report of a host's own view of the fleet, for operators.

It is served as JSON on the metrics endpoint. API keys of workspaces are left
out.
"""

import dataclasses
import typing

import orjson

from egretstep.backends import connection
from egretstep.membership import claims, directory, leases, registry
from egretstep.settings import configuration_follower, deployment
from egretstep.web import endpoint

PATH = '/status'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostSummary:
    """A host of the fleet, and whether the reporting host sends it work."""

    host: str
    zone: str
    state: str
    boot: int
    is_usable: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskSummary:
    """The holder of a task.

    `lease_left_s` is the remaining lease in seconds, None if another host
    holds the task.
    """

    task: str
    host: str
    epoch: int
    is_settled: bool
    lease_left_s: float | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerSummary:
    """A backend server, and whether it takes new work."""

    server: str
    service: str
    zone: str
    role: str
    takes_work: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteSummary:
    """A database that callers use, and the settings in force for it.

    `connection_limit` is None if the service is not in the configuration.
    """

    database: str
    service: str
    consistency: str
    timeout_s: float
    max_staleness_s: float | None
    connection_limit: int | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkspaceSummary:
    """A workspace with its rate, in operations per second, and its burst."""

    workspace: str
    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """The view that a host has of the fleet at one time.

    `settings_age_s` is the number of seconds since it was confirmed that the
    configuration is the latest.
    """

    host: str
    zone: str
    boot: int
    is_ready: bool
    settings_version: int
    settings_source: str
    settings_age_s: float
    zones_out: list[str]
    hosts: list[HostSummary]
    tasks: list[TaskSummary]
    servers: list[ServerSummary]
    routes: list[RouteSummary]
    workspaces: list[WorkspaceSummary]


class Reporter:
    """Creates reports of this host."""

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
        """Return the report as a JSON page."""
        return endpoint.Page(
            status=endpoint.OK,
            body=orjson.dumps(self.report()),
            content_type='application/json',
        )

    def report(self) -> Report:
        """Return the current report."""
        current = self._configuration.current
        own = self._hosts.own
        return Report(
            host=own.host,
            zone=own.zone,
            boot=own.boot,
            is_ready=self._is_ready(),
            settings_version=current.version,
            settings_source=self._configuration.source,
            settings_age_s=_round_seconds(self._configuration.age),
            zones_out=sorted(current.zones_out),
            hosts=[
                self._summarize_host(item)
                for item in self._hosts.hosts.values()
            ],
            tasks=[
                self._summarize_task(item)
                for item in self._keeper.known.values()
            ],
            servers=[
                self._summarize_server(item) for item in self._servers.all()
            ],
            routes=[
                _summarize_route(item, current)
                for item in current.routes.values()
            ],
            workspaces=[
                WorkspaceSummary(
                    workspace=item.name, rate=item.rate, burst=item.burst
                )
                for item in current.workspaces.values()
            ],
        )

    def _summarize_host(self, host: directory.Host) -> HostSummary:
        return HostSummary(
            host=host.host,
            zone=host.zone,
            state=host.state.value,
            boot=host.boot,
            is_usable=self._hosts.is_usable(host.host),
        )

    def _summarize_task(self, claim: claims.Claim) -> TaskSummary:
        left = None
        if self._keeper.is_mine(claim):
            left = _round_seconds(self._keeper.remaining_lease(claim.task))
        return TaskSummary(
            task=claim.task,
            host=claim.host,
            epoch=claim.epoch,
            is_settled=claim.is_settled,
            lease_left_s=left,
        )

    def _summarize_server(
        self, server: connection.BackendServer
    ) -> ServerSummary:
        return ServerSummary(
            server=server.server,
            service=server.service,
            zone=server.zone,
            role=server.role.value,
            takes_work=self._servers.takes_work(server),
        )


def _round_seconds(seconds: float) -> float:
    return round(seconds, 3)


def _summarize_route(
    route: deployment.Route,
    current: deployment.Deployment,
) -> RouteSummary:
    service = current.services.get(route.service)
    return RouteSummary(
        database=route.database,
        service=route.service,
        consistency=route.consistency.value,
        timeout_s=route.timeout,
        max_staleness_s=route.max_staleness,
        connection_limit=service.connection_limit if service else None,
    )
