"""Wires the parts of a host's program together, and stops them in order."""

import asyncio
import contextlib
import itertools

import logbook

from egretstep import clock, identifiers
from egretstep.callers import parts
from egretstep.limits import grants
from egretstep.membership import (
    claiming,
    directory,
    fleet_links,
    leases,
    registry,
)
from egretstep.observability import metrics_page
from egretstep.peers import links
from egretstep.platform import (
    backend,
    ingress,
    promotions,
    readiness,
    registrations,
    store,
)
from egretstep.pooling import brokers, local_host
from egretstep.pooling import work as work_module
from egretstep.programs import (
    host_endpoint,
    host_report,
    questions,
    stopping,
    store_watches,
    tasks,
)
from egretstep.replication import evidence, failover
from egretstep.routing import dispatcher
from egretstep.settings import deployment, node
from egretstep.storage import watching
from egretstep.supervision import supervisor

SWEEP_SECONDS = 0.5
REGISTER_RETRY_SECONDS = 0.3
# The rest of the time goes by until this host hears of it.
LEAVE_SHARE = 0.5
_logger = logbook.Logger('node')


class Node:
    """Wires the parts of the program together."""

    def __init__(
        self,
        *,
        settings: node.NodeSettings,
        started: directory.PendingRegistration,
        registration: directory.Registration,
        platform_store: store.PlatformStore,
    ) -> None:
        self._settings = settings
        self._clock = clock.BootClock()
        self._store = platform_store
        self._is_stopping = False
        self._started = started
        self._registration = registration
        self._link_ids = itertools.count(1)
        self._opener = backend.PlatformOpener()
        self._promotions = promotions.PlatformPromotions(
            address=settings.promotions,
            host=settings.host,
        )
        self._watches = store_watches.StoreWatches(
            settings=settings,
            store=platform_store,
            time_source=self._clock,
        )
        self._make_membership(started.own)
        self._make_pooling()
        self._make_callers()
        self._make_reporter()
        self._follow_tables()
        self._watches.fleet.load(started.fleet)

    async def run(self) -> None:
        """Serve until cancelled, then stop without cutting work."""
        tree = supervisor.Supervisor(name='node', children=self._children())
        running = asyncio.ensure_future(tree.run())
        try:
            await asyncio.shield(running)
        except asyncio.CancelledError:
            await self._stop()
            running.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await running

    def _make_membership(self, own: directory.Host) -> None:
        self._hosts = directory.Directory(own=own, time_source=self._clock)
        self._hosts.is_registered = False
        self._peers = fleet_links.FleetLinks(
            hosts=self._hosts,
            time_source=self._clock,
        )
        self._keeper = leases.LeaseKeeper(
            store=self._store,
            hosts=self._hosts,
            confirmers=self._peers,
            time_source=self._clock,
        )
        self._servers = registry.ServerRegistry(time_source=self._clock)

    def _make_pooling(self) -> None:
        self._brokers = brokers.BrokerTable(
            opener=self._opener,
            current=self._current,
            time_source=self._clock,
        )
        self._tasks = tasks.FleetTasks(
            keeper=self._keeper,
            hosts=self._hosts,
            servers=self._servers,
            broker_table=self._brokers,
            make_failover=self._make_failover,
            current=self._current,
            time_source=self._clock,
            is_first_start=self._settings.is_first_start,
        )
        self._questions = questions.Questions(
            hosts=self._hosts,
            keeper=self._keeper,
            peers=self._peers,
            fleet_tasks=self._tasks,
            current=self._current,
            time_source=self._clock,
        )
        self._acknowledged_positions: dict[
            deployment.ServiceName,
            evidence.AcknowledgedPositions,
        ] = {}
        self._local = local_host.LocalHost(
            broker_table=self._brokers,
            servers=self._servers,
            owners=self._tasks,
            floors=self._floors,
        )
        self._claimant = claiming.Claimant(
            keeper=self._keeper,
            hosts=self._hosts,
            prober=self._peers,
            wanted=self._tasks.wanted,
            start=self._tasks.start,
            time_source=self._clock,
        )

    def _make_failover(self) -> failover.FailoverCoordinator:
        return failover.FailoverCoordinator(
            servers=self._servers,
            opener=self._opener,
            promotions=self._promotions,
            drain_seconds=self._settings.drain_seconds * LEAVE_SHARE,
            time_source=self._clock,
        )

    def _make_callers(self) -> None:
        services = parts.Services(
            current=self._current,
            dispatcher=dispatcher.Dispatcher(
                hosts=self._hosts,
                servers=self._servers,
                keeper=self._keeper,
                peers=self._peers,
                local=self._local,
                time_source=self._clock,
            ),
            admitter=grants.HostRateLimiter(
                request_tokens=self._questions.ask_tokens,
                fallback_rate=self._questions.fallback_rate,
                time_source=self._clock,
            ),
            release_here=self._release_here,
            is_stopping=lambda: self._is_stopping,
            is_configured=self._watches.configuration.is_known,
        )
        self._ingress = ingress.Ingress(
            address=self._settings.callers,
            services=services,
        )
        self._readiness = readiness.make_endpoint(
            address=self._settings.readiness,
            is_ready=self._is_ready,
        )

    def _make_reporter(self) -> None:
        self._reporter = host_report.Reporter(
            hosts=self._hosts,
            keeper=self._keeper,
            servers=self._servers,
            configuration=self._watches.configuration,
            is_ready=self._is_ready,
        )

    def _follow_tables(self) -> None:
        self._watches.fleet.changes.subscribe(self._follow_fleet)
        self._watches.servers.changes.subscribe(self._follow_servers)
        self._watches.configuration.changes.subscribe(
            lambda current: self._servers.update_zones_out(current.zones_out),
        )

    def _children(self) -> list[supervisor.Child]:
        listener = links.Listener(
            address=self._settings.peers.host,
            port=self._settings.peers.port,
            make_server=self._make_endpoint,
        )
        runs = {
            'registration': self._register,
            'leases': self._keeper.run,
            'peers': listener.run,
            'claimant': self._claimant.run,
            'sweep': self._sweep,
            'counted': self._questions.stay_counted,
            'callers': self._ingress.run,
            'readiness': self._readiness.run,
            'metrics': metrics_page.make_endpoint(
                self._settings.metrics,
                {host_report.PATH: self._reporter.page},
            ).run,
        }
        watches = self._watches.children(
            hosts=self._hosts,
            peers=self._peers,
            keeper=self._keeper,
        )
        others = [
            supervisor.Child(name=name, run=run) for name, run in runs.items()
        ]
        return [*watches, *others]

    async def _register(self) -> None:
        """Store this host's row; callers are served meanwhile."""
        while not self._hosts.is_registered:
            try:
                own = await self._registration.register(self._started)
            except directory.WRITE_FAILURES as error:
                _logger.warning('not registered yet: {}', error)
                await asyncio.sleep(REGISTER_RETRY_SECONDS)
            else:
                self._hosts.mark_registered(own)
                _logger.info('registered {} with boot {}', own.host, own.boot)

    def _follow_fleet(self, rows: watching.Rows) -> None:
        self._hosts.update(rows)
        self._keeper.merge_rows(rows)
        if self._watches.fleet.is_synced and not self._keeper.is_synced:
            self._tasks.note_claims()
            self._keeper.is_synced = True

    def _follow_servers(self, rows: watching.Rows) -> None:
        current = registrations.decode(rows)
        self._servers.update(current)
        self._brokers.stop_reuse_of_foreign_primaries(
            current.values(),
            lambda service: self._tasks.owner(service) is not None,
        )

    def _make_endpoint(self) -> host_endpoint.HostEndpoint:
        return host_endpoint.HostEndpoint(
            link=work_module.LinkId(next(self._link_ids)),
            local=self._local,
            broker_table=self._brokers,
            keeper=self._keeper,
            peers=self._peers,
            fleet_tasks=self._tasks,
            feed_server=self._watches.feed_server,
        )

    def _current(self) -> deployment.Deployment:
        return self._watches.configuration.current

    def _is_ready(self) -> bool:
        if self._is_stopping or self._questions.is_isolated:
            return False
        return self._watches.configuration.version > 0

    def _floors(
        self,
        service: deployment.ServiceName,
    ) -> evidence.AcknowledgedPositions:
        known = self._acknowledged_positions.get(service)
        if known is None:
            known = evidence.AcknowledgedPositions(
                query_owner=lambda: self._questions.ask_acknowledged(service),
                time_source=self._clock,
            )
            self._acknowledged_positions[service] = known
        return known

    def _release_here(self, pin_id: identifiers.PinId) -> None:
        self._brokers.release(dispatcher.LOCAL_LINK_ID, pin_id)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self._brokers.sweep()
            if self._questions.is_isolated:
                # Callers come back through the balancer to another host.
                self._ingress.close_idle()

    async def _stop(self) -> None:
        _logger.info('stopping: handing over, then closing sessions')
        self._is_stopping = True
        self._claimant.leave()
        stop = stopping.PlannedStop(
            registration=self._registration,
            own=self._hosts.own,
            hand_over=self._tasks.hand_over,
            close_idle=self._ingress.close_idle,
            stop_accepting=self._ingress.stop_accepting,
            end_of_grace=self._clock.now() + self._settings.stop_grace_seconds,
            time_source=self._clock,
        )
        await stop.end_work()
        self._brokers.close()
        await stop.linger()
        _logger.info('stopped')
