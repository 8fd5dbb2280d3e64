"""The control program of a host: settings, membership, operators."""

import asyncio
import contextlib
import time
import typing

import logbook
import orjson

from egretstep import clock, errors, identifiers
from egretstep.membership import gossip, members
from egretstep.observability import metrics_endpoint
from egretstep.operators import endpoint
from egretstep.peers import links, listening, schema
from egretstep.programs import agent_link, host_view, runner
from egretstep.settings import changes, distribution, freshness
from egretstep.settings import schema as settings_schema
from egretstep.storage import client, interfaces
from egretstep.supervision import supervisor

HOST_LIST_INTERVAL_SECONDS = 10.0
STATUS_TIMEOUT_SECONDS = 0.5
# JSON has no infinity; settings that were never confirmed have this age.
MAX_REPORTED_AGE_SECONDS = 1e9
LEAVE_TIMEOUT_SECONDS = 15.0
PROGRAM_POLL_INTERVAL_SECONDS = 0.1
_logger = logbook.Logger('agent')


class Agent:
    """Creates, connects and runs the components of the agent.

    `token` replaces the operators' token of the settings unless it is empty.
    """

    def __init__(
        self,
        *,
        settings: settings_schema.HostSettings,
        token: str = '',
    ) -> None:
        self._settings = settings
        self._clock = clock.MonotonicClock()
        self._platform = client.PlatformClient(url=settings.platform_url)
        self._keeper = freshness.SettingsKeeper(time_source=self._clock)
        self._table = members.MemberTable(
            own=_own_member(settings),
            time_source=self._clock,
        )
        self._gossip = gossip.Gossip(
            table=self._table,
            keeper=self._keeper,
            time_source=self._clock,
            on_vouch=self._on_vouch,
            seeds=[_parse_seed(peer) for peer in settings.peers],
        )
        self._view_source = host_view.HostViewSource(
            keeper=self._keeper,
            table=self._table,
            gossip=self._gossip,
            time_source=self._clock,
        )
        self._distribution = distribution.Distribution(
            keeper=self._keeper,
            table=self._table,
            gossip=self._gossip,
            service=self._platform,
            time_source=self._clock,
        )
        self._operator_endpoint = self._make_operator_endpoint(token)
        self._pool_link = links.Link(
            address=settings.address,
            port=settings.pool_port,
            interface=schema.Pool,
        )

    async def run(self) -> None:
        """Run until cancelled, then announce that this host leaves.

        The agent then runs until the other programs of the host have ended,
        for at most `LEAVE_TIMEOUT_SECONDS`.
        """
        listener = listening.Listener(
            address=self._settings.address,
            port=self._settings.agent_port,
            make_server=lambda: agent_link.AgentServer(
                view_source=self._view_source
            ),
        )
        metrics_server = metrics_endpoint.MetricsEndpoint(
            address=self._settings.address,
            port=self._settings.metrics_port,
        )
        tree = supervisor.Supervisor(
            name='agent',
            children=[
                supervisor.Child(name='listener', run=listener.run),
                supervisor.Child(name='hosts', run=self._follow_host_list),
                supervisor.Child(name='gossip', run=self._gossip.run),
                supervisor.Child(name='pool-watch', run=self._watch_pool),
                supervisor.Child(name='settings', run=self._distribution.run),
                supervisor.Child(
                    name='operators', run=self._operator_endpoint.run
                ),
                supervisor.Child(name='metrics', run=metrics_server.run),
            ],
        )
        tree_task = asyncio.ensure_future(tree.run())
        try:
            await asyncio.shield(tree_task)
        except asyncio.CancelledError:
            await self._leave()
            tree_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await tree_task
        finally:
            await self._platform.close()

    async def _leave(self) -> None:
        """Announce the leave and wait until this host's programs have ended."""
        self._gossip.announce_own(state=members.MemberState.LEAVING)
        with contextlib.suppress(errors.PlatformError):
            await self._report_own_host()
        deadline = self._clock.now() + LEAVE_TIMEOUT_SECONDS
        while self._view_source.programs and self._clock.now() < deadline:
            await asyncio.sleep(PROGRAM_POLL_INTERVAL_SECONDS)

    async def _on_vouch(
        self,
        sender: members.Member,
        vouch: freshness.Vouch,
        sent_at: float,
    ) -> None:
        await self._distribution.on_vouch(sender, vouch, sent_at)

    async def _follow_host_list(self) -> None:
        while True:
            with contextlib.suppress(errors.PlatformError):
                await self._report_own_host()
                for listed in await self._platform.list_hosts():
                    self._gossip.add_listed_host(_member_from_list(listed))
            await asyncio.sleep(HOST_LIST_INTERVAL_SECONDS)

    async def _watch_pool(self) -> None:
        while True:
            await asyncio.sleep(PROGRAM_POLL_INTERVAL_SECONDS)
            is_up = self._table.own.pool is not members.PoolState.DOWN
            if is_up and self._view_source.pool_watch.is_silent:
                _logger.warning(
                    'the pool of host {} has stopped sending requests; it is '
                    'announced as down',
                    self._settings.host,
                )
                self._gossip.announce_own(pool=members.PoolState.DOWN)

    async def _report_own_host(self) -> None:
        own = self._table.own
        await self._platform.report_host(
            interfaces.ListedHost(
                host=own.host,
                zone=own.zone,
                address=own.address,
                agent_port=own.agent_port,
                pool_port=own.pool_port,
                leaving=own.state is members.MemberState.LEAVING,
            ),
        )

    def _make_operator_endpoint(self, token: str) -> endpoint.OperatorEndpoint:
        changer = changes.SettingsChanger(
            keeper=self._keeper,
            table=self._table,
            distribution=self._distribution,
            service=self._platform,
        )
        return endpoint.OperatorEndpoint(
            address=self._settings.address,
            port=self._settings.operator_port,
            token=token or self._settings.operator_token,
            changer=changer,
            keeper=self._keeper,
            status=self._status,
        )

    async def _status(self) -> dict[str, typing.Any]:
        record = self._keeper.record
        vouch = self._keeper.vouch()
        return {
            'host': self._settings.host,
            'settings_version': self._keeper.version,
            'settings_age_seconds': round(
                min(vouch.age, MAX_REPORTED_AGE_SECONDS), 3
            ),
            'databases': await self._database_statuses(),
            'witnesses': list(record.witnesses) if record else [],
            'hosts': [
                {
                    'host': member.host,
                    'zone': member.zone,
                    'state': member.state.value,
                    'pool': member.pool.value,
                }
                for member in self._table.all()
            ],
        }

    async def _database_statuses(self) -> list[dict[str, typing.Any]]:
        try:
            answer = await self._pool_link.call(
                lambda pool: pool.status(),
                timeout=STATUS_TIMEOUT_SECONDS,
            )
        except (errors.LinkError, errors.LinkLostError):
            return []
        return [
            {
                'database': database.database,
                'owner': self._settings.host,
                'serving': database.serving,
                'term': database.term,
                'primary': database.primary,
                'servers': orjson.loads(database.servers),
            }
            for database in answer.databases
        ]


def _parse_seed(peer: str) -> gossip.Seed:
    address, _separator, port = peer.rpartition(':')
    return gossip.Seed(address=address, port=int(port))


def _own_member(settings: settings_schema.HostSettings) -> members.Member:
    # The start time makes reports of a restarted agent override the reports
    # about its earlier process.
    incarnation = int(time.time() * clock.MILLISECONDS_PER_SECOND)
    return members.Member(
        host=identifiers.HostName(settings.host),
        zone=identifiers.ZoneName(settings.zone),
        address=settings.address,
        agent_port=settings.agent_port,
        pool_port=settings.pool_port,
        incarnation=incarnation,
    )


def _member_from_list(listed: interfaces.ListedHost) -> members.Member:
    state = members.MemberState.ALIVE
    if listed.leaving:
        state = members.MemberState.LEAVING
    return members.Member(
        host=identifiers.HostName(listed.host),
        zone=identifiers.ZoneName(listed.zone),
        address=listed.address,
        agent_port=listed.agent_port,
        pool_port=listed.pool_port,
        state=state,
    )


async def _serve(settings: settings_schema.HostSettings) -> None:
    await Agent(settings=settings).run()


def main() -> None:
    """Start the program."""
    runner.run(program=_serve, description=__doc__)


if __name__ == '__main__':
    main()
