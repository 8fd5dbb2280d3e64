"""Starts an example deployment as separate processes on this machine.

Demo, scenarios and measurements use it. All ports are moved by an offset,
so that several deployments can run side by side.
"""

import asyncio
import contextlib
import dataclasses
import socket
import time
import typing

import yaml

from egretstep.operators import client
from egretstep.settings import freshness, schema
from standins import processes

START_SECONDS = 30.0
POLL_SECONDS = 0.05
PROGRAMS = ('agent', 'pool', 'entry')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Delays:
    """Delays of the stand-ins, in seconds."""

    platform_port: int
    connect_delay: float = 0.01
    statement_delay: float = 0
    apply_lag: float = 0


class Fleet(processes.ProcessTable):
    """A running deployment; processes are ended by their own ids."""

    def __init__(
        self,
        *,
        example: str,
        port_offset: int = 0,
        change: typing.Callable[[dict[str, typing.Any]], None] | None = None,
        quiet: bool = True,
        database_options: typing.Sequence[str] = (),
    ) -> None:
        super().__init__(quiet=quiet)
        self._folder = processes.ROOT / 'examples' / example
        self._offset = port_offset
        self._database_options = tuple(database_options)
        self.delays = Delays(**self._read('standins.yaml'))
        self.document = self._read('fleet.yaml')
        self._move_ports()
        if change:
            change(self.document)
        self.fleet = schema.FleetSettings.model_validate(self.document)
        self.hosts = self._read_hosts()

    @property
    def platform_url(self) -> str:
        """Return the URL of the platform's stand-in."""
        port = self.delays.platform_port + self._offset
        return f'http://127.0.0.1:{port}'

    def operator(self, host: str) -> client.OperatorClient:
        """Return a client of one host's operator endpoint."""
        settings = self.hosts[host]
        return client.OperatorClient(
            url=f'http://{settings.address}:{settings.operator_port}',
            token=settings.operator_token,
        )

    async def start(self) -> None:
        """Start everything and apply the settings."""
        self._start_platform()
        for database in self.fleet.databases.values():
            for name, server in database.servers.items():
                self._start_server(name, server, database)
        for host in self.hosts:
            self.start_host(host)
        await self._wait_ports(self._control_ports())
        # The first record names as witnesses the hosts that are known then.
        await self._wait_acquainted()
        await self.apply(expected=0)
        await self.wait_serving()
        await self._wait_ports(
            [host.caller_port for host in self.hosts.values()],
        )

    async def apply(self, *, expected: int | None = None) -> int:
        """Apply the present document through the first host that answers."""
        text = yaml.safe_dump(self.document, sort_keys=False)
        operator = self.operator(next(iter(self.hosts)))
        if expected is None:
            record = await operator.settings()
            expected = record['version'] if record else 0
        return await operator.apply(
            text=text,
            expected=expected,
            author='fleet',
            comment='',
        )

    async def wait_serving(self, timeout: float = START_SECONDS) -> None:
        """Wait until every database has an owner that serves."""
        deadline = time.monotonic() + timeout
        wanted = set(self.fleet.databases)
        while time.monotonic() < deadline:
            if await self.serving() >= wanted and await self.all_fresh():
                return
            await asyncio.sleep(POLL_SECONDS)
        raise TimeoutError(f'not all of {wanted} are served')

    async def _wait_acquainted(self) -> None:
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            statuses = await self.statuses()
            known = [len(status['hosts']) for status in statuses]
            if len(known) == len(self.hosts) == min(known):
                return
            await asyncio.sleep(POLL_SECONDS)
        raise TimeoutError(f'the hosts know {known} of {len(self.hosts)}')

    async def all_fresh(self) -> bool:
        """Tell whether every running host can vouch for its settings."""
        limit = freshness.FRESHNESS_LIMIT_SECONDS / 2
        return all(
            status['settings_age_seconds'] < limit
            for status in await self.statuses()
        )

    async def serving(self) -> set[str]:
        """Return the databases that some host serves now."""
        found: set[str] = set()
        for status in await self.statuses():
            found.update(
                database['database']
                for database in status['databases']
                if database['serving']
            )
        return found

    async def statuses(self) -> list[dict[str, typing.Any]]:
        """Return the status of every host that answers."""
        answers = await asyncio.gather(
            *(self.operator(host).status() for host in self.hosts),
            return_exceptions=True,
        )
        return [answer for answer in answers if isinstance(answer, dict)]

    def start_host(self, host: str) -> None:
        """Start the programs of one host."""
        for program in PROGRAMS:
            self.start_program(host, program)

    def start_only_agents(self, count: int) -> None:
        """Start the platform and a number of agents, and nothing else."""
        self._start_platform()
        template = next(iter(self.hosts.values()))
        first = template.agent_port
        self.hosts = {}
        for number in range(count):
            name = f'host-{number}'
            self.hosts[name] = template.model_copy(
                update={
                    'host': name,
                    'agent_port': first + 2 * number,
                    'operator_port': first + 2 * number + 1,
                    'metrics_port': None,
                    'peers': [f'{template.address}:{first}'],
                },
            )
            self.start_program(name, 'agent')

    async def wait_agents(self) -> None:
        """Wait until every agent listens."""
        await self._wait_ports(
            [host.operator_port for host in self.hosts.values()],
        )

    def start_program(self, host: str, program: str) -> None:
        """Start one program of a host."""
        path = self.folder / f'{host}.yaml'
        path.write_text(
            yaml.safe_dump(self.hosts[host].model_dump(mode='json')),
        )
        self.spawn(
            f'{host}/{program}',
            [f'egretstep.programs.{program}', str(path)],
        )

    def _read(self, name: str) -> dict[str, typing.Any]:
        return yaml.safe_load((self._folder / name).read_text())

    def _move_ports(self) -> None:
        for database in self.document['databases'].values():
            for server in database['servers'].values():
                server['port'] += self._offset

    def _read_hosts(self) -> dict[str, schema.HostSettings]:
        found = {}
        for path in sorted(self._folder.glob('host-*.yaml')):
            document = yaml.safe_load(path.read_text())
            for name in list(document):
                if name.endswith('_port'):
                    document[name] += self._offset
            document['platform_url'] = self.platform_url
            document['peers'] = [
                self._move_peer(peer) for peer in document['peers']
            ]
            settings = schema.HostSettings.model_validate(document)
            found[settings.host] = settings
        return found

    def _move_peer(self, peer: str) -> str:
        address, port = peer.split(':')
        return f'{address}:{int(port) + self._offset}'

    def _start_platform(self) -> None:
        port = self.delays.platform_port + self._offset
        self.spawn('platform', ['standins.platform', '--port', str(port)])

    def _start_server(
        self,
        name: str,
        server: schema.Server,
        database: schema.Database,
    ) -> None:
        options = {
            '--name': name,
            '--port': server.port,
            '--slots': database.slots,
            '--connections': database.connections,
            '--connect-delay': self.delays.connect_delay,
            '--statement-delay': self.delays.statement_delay,
            '--apply-lag': self.delays.apply_lag,
            '--group-size': len(database.servers),
        }
        arguments = [str(part) for pair in options.items() for part in pair]
        self.spawn(
            name,
            ['standins.database', *arguments, *self._database_options],
        )

    def _control_ports(self) -> list[int]:
        ports = [
            server.port
            for database in self.fleet.databases.values()
            for server in database.servers.values()
        ]
        ports.append(self.delays.platform_port + self._offset)
        for host in self.hosts.values():
            ports.extend((host.agent_port, host.operator_port, host.pool_port))
        return ports

    async def _wait_ports(self, ports: typing.Iterable[int]) -> None:
        deadline = time.monotonic() + START_SECONDS
        for port in ports:
            while not _is_listening(port):
                if time.monotonic() > deadline:
                    raise TimeoutError(f'nothing listens on port {port}')
                await asyncio.sleep(POLL_SECONDS)


def _is_listening(port: int) -> bool:
    with contextlib.closing(socket.socket()) as probe:
        probe.settimeout(0.2)
        return probe.connect_ex(('127.0.0.1', port)) == 0
