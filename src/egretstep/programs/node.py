"""The one program of a host on the users' platform.

It takes callers, reads from replicas of its zone, owns services, and counts
rates, as the fleet's leases say.
"""

import argparse
import asyncio
import contextlib
import itertools
import signal
import typing

import capnp
import logbook

from egretstep import clock, errors, identifiers
from egretstep.callers import dialogue
from egretstep.limits import grants
from egretstep.membership import (
    claiming,
    directory,
    fleet_links,
    leases,
    registry,
)
from egretstep.observability import logs, metrics_page
from egretstep.peers import links
from egretstep.platform import (
    backend,
    duties,
    ingress,
    operator_settings,
    process_settings,
    readiness,
    registrations,
    store,
)
from egretstep.pooling import brokers, local_host
from egretstep.pooling import work as work_module
from egretstep.programs import host_endpoint, tasks
from egretstep.replication import evidence, succession
from egretstep.routing import dispatcher
from egretstep.settings import deployment, following, node
from egretstep.storage import watching
from egretstep.supervision import supervisor

REGISTER_RETRY_SECONDS = 0.3
SWEEP_SECONDS = 0.5
COUNTED_SECONDS = 0.7
# News of claims travels between the hosts as well.
FLEET_PAUSE_SECONDS = 0.5
SERVERS_PAUSE_SECONDS = 0.1
SETTINGS_PAUSE_SECONDS = 0.15
STOP_MARGIN_SECONDS = 1.0
STOP_POLL_SECONDS = 0.05
METRICS_PORT = 9464
_logger = logbook.Logger('node')


class Node:
    """Wires the parts of the program together."""

    def __init__(
        self,
        *,
        settings: node.NodeSettings,
        own: directory.Host,
        platform_store: store.PlatformStore,
    ) -> None:
        self._settings = settings
        self._clock = clock.BootClock()
        self._store = platform_store
        self._is_stopping = False
        self._link_ids = itertools.count(1)
        self._opener = backend.PlatformOpener()
        self._promotions = duties.PlatformPromotions(
            address=settings.promotions,
            host=settings.host,
        )
        self._make_membership(own)
        self._make_pooling()
        self._make_callers()
        self._follow_tables()

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

    def _watch(self, table: str, pause: float) -> watching.TableWatch:
        return watching.TableWatch(
            store=self._store,
            table=table,
            time_source=self._clock,
            pause=pause,
        )

    def _make_membership(self, own: directory.Host) -> None:
        self._hosts = directory.Directory(own=own, time_source=self._clock)
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
        self._fleet_watch = self._watch(directory.TABLE, FLEET_PAUSE_SECONDS)
        self._servers_watch = self._watch(
            registrations.TABLE,
            SERVERS_PAUSE_SECONDS,
        )
        self._settings_watch = self._watch(
            operator_settings.TABLE,
            SETTINGS_PAUSE_SECONDS,
        )
        self._configuration = following.ConfigurationFollower(
            watch=self._settings_watch,
            stored_as=operator_settings.FORMAT,
            ask_host=self._ask_configuration,
            other_hosts=self._usable_hosts,
        )

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
            make_succession=self._make_succession,
            current=self._current,
            time_source=self._clock,
            is_first_start=self._settings.is_first_start,
        )
        self._evidence: dict[deployment.ServiceName, evidence.Evidence] = {}
        self._local = local_host.LocalHost(
            broker_table=self._brokers,
            servers=self._servers,
            owner=self._tasks.owner,
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

    def _make_succession(self) -> succession.Succession:
        return succession.Succession(
            servers=self._servers,
            opener=self._opener,
            promotions=self._promotions,
            time_source=self._clock,
        )

    def _make_callers(self) -> None:
        services = dialogue.Services(
            current=self._current,
            dispatcher=dispatcher.Dispatcher(
                hosts=self._hosts,
                servers=self._servers,
                keeper=self._keeper,
                peers=self._peers,
                local=self._local,
                time_source=self._clock,
            ),
            admitter=grants.Admitter(
                ask=self._ask_tokens,
                uncounted=self._uncounted_rate,
                time_source=self._clock,
            ),
            release_here=self._release_here,
            is_stopping=lambda: self._is_stopping,
        )
        self._ingress = ingress.Ingress(
            address=self._settings.callers,
            services=services,
        )
        self._readiness = readiness.make_endpoint(
            address=self._settings.readiness,
            is_ready=self._is_ready,
        )

    def _follow_tables(self) -> None:
        self._fleet_watch.changes.subscribe(self._follow_fleet)
        self._servers_watch.changes.subscribe(self._follow_servers)
        self._configuration.changes.subscribe(
            lambda current: self._servers.follow_zones(current.zones_out),
        )

    def _children(self) -> list[supervisor.Child]:
        listener = links.Listener(
            address=self._settings.peers.host,
            port=self._settings.peers.port,
            make_server=self._make_endpoint,
        )
        runs = {
            'settings watch': self._settings_watch.run,
            'servers watch': self._servers_watch.run,
            'fleet watch': self._fleet_watch.run,
            'configuration': self._configuration.run,
            'leases': self._keeper.run,
            'peers': listener.run,
            'claimant': self._claimant.run,
            'sweep': self._sweep,
            'counted': self._stay_counted,
            'callers': self._ingress.run,
            'readiness': self._readiness.run,
            'metrics': metrics_page.make_endpoint(self._settings.metrics).run,
        }
        return [
            supervisor.Child(name=name, run=run) for name, run in runs.items()
        ]

    def _follow_fleet(self, rows: watching.Rows) -> None:
        self._hosts.follow(rows)
        self._keeper.follow(rows)
        if self._fleet_watch.is_synced and not self._keeper.is_synced:
            self._tasks.note_claims()
            self._keeper.is_synced = True

    def _follow_servers(self, rows: watching.Rows) -> None:
        current = registrations.decode(rows)
        self._servers.follow(current)
        self._brokers.retire_primaries(
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
            tasks=self._tasks,
            configuration=self._configuration,
        )

    def _current(self) -> deployment.Deployment:
        return self._configuration.current

    def _is_ready(self) -> bool:
        return not self._is_stopping and self._configuration.version > 0

    def _usable_hosts(self) -> list[identifiers.HostName]:
        return [
            name
            for name in self._hosts.hosts
            if name != self._hosts.own.host and self._hosts.is_usable(name)
        ]

    def _floors(self, service: deployment.ServiceName) -> evidence.Evidence:
        known = self._evidence.get(service)
        if known is None:
            known = evidence.Evidence(
                ask=lambda: self._ask_acknowledged(service),
                time_source=self._clock,
            )
            self._evidence[service] = known
        return known

    async def _ask_acknowledged(
        self,
        service: deployment.ServiceName,
    ) -> evidence.Sample | None:
        claim = self._keeper.claims.get(dispatcher.task_of(service))
        if claim is None:
            return None
        asked_at = self._clock.now()
        owner = self._tasks.owner(service)
        if claim.host == self._hosts.own.host:
            reply = owner.acknowledged() if owner else None
        else:
            reply = await self._peers.acknowledged(claim.host, service)
        if reply is None:
            return None
        epoch, position = reply
        return evidence.Sample(
            asked_at=asked_at,
            epoch=epoch,
            position=position,
        )

    async def _ask_configuration(
        self,
        host: identifiers.HostName,
        known: int,
    ) -> bytes | None:
        try:
            reply = await self._peers.call(
                host,
                lambda remote: remote.configuration(known=known),
            )
        except (errors.LinkError, errors.LinkLostError):
            return None
        return bytes(reply.content)

    async def _ask_tokens(
        self,
        workspace: identifiers.WorkspaceName,
        wanted: int,
    ) -> grants.Grant | None:
        claim = self._keeper.claims.get(tasks.COUNTING)
        own = self._hosts.own.host
        if claim is not None and claim.host == own:
            return self._tasks.take_tokens(workspace, wanted, own)
        demands = [{'workspace': workspace, 'wanted': wanted}]
        reply = await self._call_counter(demands)
        if reply is None or not reply.serving:
            return None
        lot = reply.lots[0]
        return grants.Grant(
            granted=lot.granted,
            wait=clock.to_seconds(lot.waitMs),
            retry_after=clock.to_seconds(lot.retryAfterMs),
        )

    async def _call_counter(
        self,
        demands: list[dict[str, typing.Any]],
    ) -> typing.Any:
        claim = self._keeper.claims.get(tasks.COUNTING)
        own = self._hosts.own.host
        if claim is None or claim.host == own:
            self._tasks.note_call(own)
            return None
        if self._hosts.is_suspected(claim.host):
            return None
        try:
            return await self._peers.call(
                claim.host,
                lambda remote: remote.takeTokens(demands=demands, caller=own),
            )
        except (errors.LinkError, errors.LinkLostError):
            return None

    def _uncounted_rate(
        self,
        workspace: identifiers.WorkspaceName,
        used: float,
    ) -> float:
        settings = self._current().workspaces.get(workspace)
        if settings is None:
            return 0
        return grants.uncounted_rate(
            settings,
            hosts=len(self._hosts.hosts),
            used=used,
        )

    async def _stay_counted(self) -> None:
        """Call the counting host, so that it grants this host's share."""
        while True:
            await asyncio.sleep(COUNTED_SECONDS)
            await self._call_counter([])

    def _release_here(self, pin_id: identifiers.PinId) -> None:
        self._brokers.release(dispatcher.OWN_LINK, pin_id)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self._brokers.sweep()

    async def _stop(self) -> None:
        _logger.info('stopping: handing over, then closing sessions')
        self._is_stopping = True
        self._claimant.leave()
        deadline = (
            self._clock.now() + self._settings.grace - STOP_MARGIN_SECONDS
        )
        await asyncio.gather(
            self._announce_leaving(),
            self._tasks.hand_over(),
            self._close_sessions(deadline),
        )
        self._brokers.close()
        _logger.info('stopped')

    async def _announce_leaving(self) -> None:
        registration = directory.Registration(store=self._store)
        leaving = directory.HostState.LEAVING
        try:
            await registration.change(self._hosts.own, leaving)
        except directory.WRITE_FAILURES as error:
            _logger.warning('leaving is not announced: {}', error)

    async def _close_sessions(self, deadline: float) -> None:
        while self._ingress.close_idle() and self._clock.now() < deadline:
            await asyncio.sleep(STOP_POLL_SECONDS)


async def _register(
    settings: node.NodeSettings,
    platform_store: store.PlatformStore,
) -> directory.Host:
    """Write this host's row with a boot number that was never used."""
    starting = directory.Host(
        host=settings.host,
        zone=settings.zone,
        address=settings.peers,
        boot=0,
        processor=settings.processor,
    )
    registration = directory.Registration(store=platform_store)
    while True:
        try:
            return await registration.start(starting)
        except directory.WRITE_FAILURES as error:
            _logger.warning('not registered yet: {}', error)
            await asyncio.sleep(REGISTER_RETRY_SECONDS)


async def _serve(settings: node.NodeSettings) -> None:
    platform_store = store.PlatformStore(address=settings.store)
    own = await _register(settings, platform_store)
    _logger.info('started {} in {}, boot {}', own.host, own.zone, own.boot)
    running = Node(settings=settings, own=own, platform_store=platform_store)
    await running.run()


async def _run_until_signal(settings: node.NodeSettings) -> None:
    task = asyncio.ensure_future(_serve(settings))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    loop.add_signal_handler(signal.SIGHUP, _reload)
    with contextlib.suppress(asyncio.CancelledError):
        await task


def _reload() -> None:
    # Addresses and sizes of a host do not change while its process runs.
    _logger.info('the settings file was changed; nothing to reload')


def main() -> None:
    """Start the program with the settings that the platform wrote."""
    logs.set_up_bounded()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--metrics-port',
        type=int,
        default=METRICS_PORT,
        help='port on which counters and histograms are served',
    )
    port = parser.parse_args().metrics_port
    settings = process_settings.load(process_settings.path(), port)
    asyncio.run(capnp.run(_run_until_signal(settings)))


if __name__ == '__main__':
    main()
