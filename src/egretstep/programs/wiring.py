"""Connects the components of a host's program and stops them in order."""

import asyncio
import contextlib
import itertools

import logbook

from egretstep import clock, identifiers
from egretstep.callers import client_limits, session_services
from egretstep.limits import host_limiter
from egretstep.membership import claiming, host_rows, registry
from egretstep.observability import metrics_page
from egretstep.peers import listening
from egretstep.platform import (
    backend,
    ingress,
    promotions,
    readiness,
    registrations,
    store,
    usage_reports,
)
from egretstep.pooling import brokers, local_host
from egretstep.pooling import work as work_module
from egretstep.programs import (
    fleet_queries,
    graceful_shutdown,
    host_endpoint,
    host_membership,
    host_report,
    remote_statements,
    store_watches,
    sweeper,
    tasks,
    usage_service,
)
from egretstep.replication import failover
from egretstep.routing import dispatcher, running_statements
from egretstep.settings import age_monitor, deployment, node
from egretstep.storage import row_decoding, watching
from egretstep.supervision import stop_deadline, supervisor

# Share of the drain limit for which a server may remain primary. The rest
# allows for the delay until this host learns that the server is draining.
DRAIN_SHARE = 0.5
_logger = logbook.Logger('node')


class Node:
    """Creates, connects and runs the components of the program."""

    def __init__(
        self,
        *,
        settings: node.NodeSettings,
        pending_registration: host_rows.PendingRegistration,
        registration: host_rows.Registration,
        platform_store: store.PlatformStore,
    ) -> None:
        self._settings = settings
        self._clock = clock.BootClock()
        self._store = platform_store
        self._stop_deadline = stop_deadline.StopDeadline(
            time_source=self._clock
        )
        self._registration = registration
        self._link_ids = itertools.count(1)
        self._opener = backend.PlatformOpener()
        self._promotions = promotions.PlatformPromotions(
            address=settings.promotions,
            host=settings.host,
        )
        self._usage_platform = usage_reports.PlatformUsageReports(
            address=settings.promotions,
            host=settings.host,
        )
        self._watches = store_watches.StoreWatches(
            settings=settings,
            store=platform_store,
            time_source=self._clock,
        )
        self._make_membership(pending_registration)
        self._make_pooling()
        self._make_caller_servers()
        self._make_reporter()
        self._subscribe_to_tables()
        self._watches.fleet.load(pending_registration.fleet)

    async def run(self) -> None:
        """Serve until cancelled, then shut down gracefully."""
        tree = supervisor.Supervisor(name='node', children=self._children())
        tree_task = asyncio.ensure_future(tree.run())
        try:
            await asyncio.shield(tree_task)
        except asyncio.CancelledError:
            await self._stop()
            tree_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await tree_task

    def _make_membership(self, pending: host_rows.PendingRegistration) -> None:
        membership = host_membership.make(
            pending=pending,
            registration=self._registration,
            store=self._store,
            is_first_start=self._settings.is_first_start,
            store_silence=lambda: self._watches.fleet.age,
            time_source=self._clock,
        )
        self._hosts = membership.hosts
        self._host_registration = membership.registration
        self._peers = membership.peers
        self._known_voters = membership.known_voters
        self._quorum = membership.quorum
        self._voter_changes = membership.voter_changes
        self._voter = membership.voter
        self._keeper = membership.keeper
        self._renewal = membership.renewal
        self._servers = registry.ServerRegistry(time_source=self._clock)
        self._server_rows = row_decoding.RowDecoder(
            decode=registrations.decode_row
        )

    def _make_pooling(self) -> None:
        self._usage = usage_service.make(
            settings=self._settings.usage,
            store=self._store,
            platform=self._usage_platform,
            hosts=self._hosts,
            keeper=self._keeper,
            peers=self._peers,
            time_source=self._clock,
        )
        self._brokers = brokers.BrokerTable(
            opener=self._opener,
            current_deployment=self._current_deployment,
            time_source=self._clock,
            usage=self._usage.recorder,
        )
        self._tasks = tasks.FleetTasks(
            keeper=self._keeper,
            renewal=self._renewal,
            hosts=self._hosts,
            servers=self._servers,
            broker_table=self._brokers,
            make_failover=self._make_failover,
            current_deployment=self._current_deployment,
            time_source=self._clock,
        )
        self._tasks.add_usage_task(self._usage)
        self._queries = fleet_queries.FleetQueries(
            hosts=self._hosts,
            keeper=self._keeper,
            peers=self._peers,
            fleet_tasks=self._tasks,
            current_deployment=self._current_deployment,
            time_source=self._clock,
        )
        self._local = local_host.LocalHost(
            broker_table=self._brokers,
            servers=self._servers,
            owners=self._tasks,
            floors=self._queries.positions_of,
        )
        self._claimant = claiming.Claimant(
            keeper=self._keeper,
            hosts=self._hosts,
            prober=self._quorum,
            wanted=self._tasks.wanted,
            start=self._tasks.start,
            time_source=self._clock,
        )

    def _make_failover(self) -> failover.FailoverCoordinator:
        return failover.FailoverCoordinator(
            servers=self._servers,
            opener=self._opener,
            promotions=self._promotions,
            current_deployment=self._current_deployment,
            drain_seconds=self._settings.drain_seconds * DRAIN_SHARE,
            time_source=self._clock,
        )

    def _make_caller_servers(self) -> None:
        self._dispatcher = dispatcher.Dispatcher(
            hosts=self._hosts,
            servers=self._servers,
            keeper=self._keeper,
            peers=self._peers,
            local=self._local,
            takeover_delay=lambda: self._known_voters.takeover_delay,
            time_source=self._clock,
        )
        services = session_services.SessionServices(
            current_deployment=self._current_deployment,
            dispatcher=self._dispatcher,
            rate_limiter=host_limiter.HostRateLimiter(
                request_tokens=self._queries.request_tokens,
                fallback_rate=self._queries.fallback_rate,
                time_source=self._clock,
            ),
            release_here=self._release_here,
            stop=self._stop_deadline,
            is_configured=self._watches.is_configured,
        )
        self._ingress = ingress.Ingress(
            address=self._settings.callers,
            services=services,
            limits=client_limits.of_process(self._settings),
        )
        self._readiness = readiness.make_endpoint(
            address=self._settings.readiness, is_ready=self._is_ready
        )

    def _make_reporter(self) -> None:
        self._reporter = host_report.Reporter(
            hosts=self._hosts,
            keeper=self._keeper,
            servers=self._servers,
            configuration=self._watches.configuration,
            is_ready=self._is_ready,
        )
        self._sweeper = sweeper.Sweeper(
            broker_table=self._brokers,
            settings_age=age_monitor.AgeMonitor(
                configuration=self._watches.configuration,
                max_delay=self._settings.max_settings_delay_seconds,
            ),
            is_isolated=lambda: self._queries.is_isolated,
            close_idle_sessions=self._ingress.close_idle,
        )

    def _subscribe_to_tables(self) -> None:
        self._watches.fleet.changes.subscribe(self._apply_fleet_rows)
        self._watches.servers.changes.subscribe(self._apply_server_rows)
        self._watches.configuration.changes.subscribe(
            lambda current: self._servers.update_zones_out(current.zones_out),
        )

    def _children(self) -> list[supervisor.Child]:
        listener = listening.Listener(
            address=self._settings.peers.host,
            port=self._settings.peers.port,
            make_server=self._make_host_endpoint,
        )
        run_functions = {
            'registration': self._host_registration.run,
            'voters': self._voter_changes.run,
            'leases': self._renewal.run,
            'peers': listener.run,
            'claimant': self._claimant.run,
            'sweep': self._sweeper.run,
            'counted': self._queries.maintain_contact,
            'usage': self._usage.run,
            'callers': self._ingress.run,
            'readiness': self._readiness.run,
            'metrics': metrics_page.make_endpoint(
                self._settings.metrics,
                {host_report.PATH: self._reporter.page},
            ).run,
        }
        watch_children = self._watches.children(
            hosts=self._hosts,
            peers=self._peers,
            renewal=self._renewal,
        )
        children = [
            supervisor.Child(name=name, run=run)
            for name, run in run_functions.items()
        ]
        return [*watch_children, *children]

    def _apply_fleet_rows(self, rows: watching.Rows) -> None:
        self._hosts.update(rows)
        self._known_voters.update(rows)
        self._host_registration.check()
        self._keeper.merge_rows(rows)
        if self._watches.fleet.is_synced and not self._keeper.is_synced:
            self._tasks.record_previous_claims()
            self._keeper.mark_synced(self._watches.fleet.version.era)

    def _apply_server_rows(self, rows: watching.Rows) -> None:
        servers = self._server_rows.decode(rows)
        self._servers.update({server.server: server for server in servers})
        self._brokers.stop_reuse_of_foreign_primaries(
            self._servers.all(),
            lambda service: self._tasks.owner(service) is not None,
        )

    def _make_host_endpoint(self) -> host_endpoint.HostEndpoint:
        return host_endpoint.HostEndpoint(
            link=work_module.LinkId(next(self._link_ids)),
            local=remote_statements.RemoteStatements(
                local=self._local,
                budget=self._ingress.budget,
                stop=self._stop_deadline,
            ),
            broker_table=self._brokers,
            own_voter=self._voter,
            peers=self._peers,
            fleet_tasks=self._tasks,
            feed_server=self._watches.feed_server,
            configuration=self._watches.configuration,
        )

    def _current_deployment(self) -> deployment.Deployment:
        return self._watches.configuration.current

    def _is_ready(self) -> bool:
        if self._stop_deadline.is_stopping or self._queries.is_isolated:
            return False
        return self._watches.configuration.version > 0

    def _release_here(self, pin_id: identifiers.PinId) -> None:
        self._brokers.release(dispatcher.LOCAL_LINK_ID, pin_id)

    async def _stop(self) -> None:
        _logger.info(
            'host {} is stopping: handing over tasks and closing sessions',
            self._settings.host,
        )
        self._claimant.leave()
        stop = graceful_shutdown.GracefulShutdown(
            registration=self._registration,
            own=self._hosts.own,
            departure=graceful_shutdown.Departure(
                hand_over=self._tasks.hand_over,
                leave_voters=self._voter_changes.leave,
            ),
            sessions=self._ingress,
            statements=running_statements.RunningStatements(
                local=self._local,
                broker_table=self._brokers,
                sender=self._dispatcher,
            ),
            stop=self._stop_deadline,
            grace=self._settings.stop_grace_seconds,
            time_source=self._clock,
        )
        await stop.drain()
        self._brokers.close()
        await asyncio.gather(stop.linger(), self._usage.flush())
        _logger.info('host {} has stopped', self._settings.host)
