"""Runs an example deployment as processes on this machine.

The demonstration, the scenarios and the measurements use it. A port offset
lets several deployments run at the same time.
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

START_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05
PROGRAMS = ('agent', 'pool', 'entry')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StandinOptions:
    """Options of the stand-ins from `standins.yaml`; delays are in seconds."""

    platform_port: int
    connect_delay: float = 0.01
    statement_delay: float = 0
    apply_lag: float = 0


class Fleet(processes.ProcessTable):
    """The processes of one deployment: hosts, database servers and platform.

    `example` is the name of a folder in `examples`. `change` edits the
    settings document before it is used. `database_options` are further
    command line arguments of each database server.
    """

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
        self._example_folder = processes.ROOT / 'examples' / example
        self._port_offset = port_offset
        self._database_options = tuple(database_options)
        self.standin_options = StandinOptions(
            **self._read_example('standins.yaml')
        )
        self.settings_document = self._read_example('fleet.yaml')
        self._shift_server_ports()
        if change:
            change(self.settings_document)
        self.settings = schema.FleetSettings.model_validate(
            self.settings_document
        )
        self.hosts = self._read_hosts()

    @property
    def platform_url(self) -> str:
        """Return the URL of the stand-in for the platform."""
        port = self.standin_options.platform_port + self._port_offset
        return f'http://127.0.0.1:{port}'

    def operator_client(self, host: str) -> client.OperatorClient:
        """Return a client of the operator endpoint of a host."""
        settings = self.hosts[host]
        return client.OperatorClient(
            url=f'http://{settings.address}:{settings.operator_port}',
            token=settings.operator_token,
        )

    async def start(self) -> None:
        """Start all processes, apply the settings and wait until they serve.

        Raises `TimeoutError` if a step takes over `START_TIMEOUT_SECONDS`.
        """
        self._start_platform()
        for database in self.settings.databases.values():
            for name, server in database.servers.items():
                self._start_server(name, server, database)
        for host in self.hosts:
            self.start_host(host)
        await self._wait_ports(self._control_ports())
        # The first settings record names all hosts known by then as witnesses.
        await self._wait_hosts_known()
        await self.apply(expected=0)
        await self.wait_serving()
        await self._wait_ports(
            [host.caller_port for host in self.hosts.values()],
        )

    async def apply(self, *, expected: int | None = None) -> int:
        """Apply the settings document through the first host.

        `expected` is the version that it replaces, by default the present
        one. Returns the new version.
        """
        text = yaml.safe_dump(self.settings_document, sort_keys=False)
        operator = self.operator_client(next(iter(self.hosts)))
        if expected is None:
            record = await operator.settings()
            expected = record['version'] if record else 0
        return await operator.apply(
            text=text,
            expected=expected,
            author='fleet',
            comment='',
        )

    async def wait_serving(
        self, timeout: float = START_TIMEOUT_SECONDS
    ) -> None:
        """Wait until all databases are served and all settings are fresh.

        Raises `TimeoutError` after `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        expected_databases = set(self.settings.databases)
        while time.monotonic() < deadline:
            if (
                await self.served_databases() >= expected_databases
                and await self.all_settings_fresh()
            ):
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        raise TimeoutError(
            f'not all of {expected_databases} are served with fresh settings '
            f'after {timeout} s',
        )

    async def _wait_hosts_known(self) -> None:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            statuses = await self.statuses()
            known_counts = [len(status['hosts']) for status in statuses]
            if len(known_counts) == len(self.hosts) == min(known_counts):
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        raise TimeoutError(
            f'the hosts know {known_counts} of {len(self.hosts)} hosts after '
            f'{START_TIMEOUT_SECONDS} s',
        )

    async def all_settings_fresh(self) -> bool:
        """Return whether the settings of every host that answers are fresh.

        They count as fresh up to half of `FRESHNESS_LIMIT_SECONDS`, so that a
        caller has time to use them.
        """
        max_age_seconds = freshness.FRESHNESS_LIMIT_SECONDS / 2
        return all(
            status['settings_age_seconds'] < max_age_seconds
            for status in await self.statuses()
        )

    async def served_databases(self) -> set[str]:
        """Return the names of the databases that some host serves."""
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
            *(self.operator_client(host).status() for host in self.hosts),
            return_exceptions=True,
        )
        return [answer for answer in answers if isinstance(answer, dict)]

    def start_host(self, host: str) -> None:
        """Start all programs of a host."""
        for program in PROGRAMS:
            self.start_program(host, program)

    def start_only_agents(self, count: int) -> None:
        """Start the platform and `count` agents, and nothing else.

        Replaces the hosts of the example. All agents have the first one as
        their peer.
        """
        self._start_platform()
        template = next(iter(self.hosts.values()))
        first_port = template.agent_port
        self.hosts = {}
        for number in range(count):
            name = f'host-{number}'
            self.hosts[name] = template.model_copy(
                update={
                    'host': name,
                    'agent_port': first_port + 2 * number,
                    'operator_port': first_port + 2 * number + 1,
                    'metrics_port': None,
                    'peers': [f'{template.address}:{first_port}'],
                },
            )
            self.start_program(name, 'agent')

    async def wait_agents(self) -> None:
        """Wait until all agents listen for operators.

        Raises `TimeoutError` after `START_TIMEOUT_SECONDS`.
        """
        await self._wait_ports(
            [host.operator_port for host in self.hosts.values()],
        )

    def start_program(self, host: str, program: str) -> None:
        """Write the settings file of a host and start one of its programs."""
        path = self.folder / f'{host}.yaml'
        path.write_text(
            yaml.safe_dump(self.hosts[host].model_dump(mode='json')),
        )
        self.spawn(
            f'{host}/{program}',
            [f'egretstep.programs.{program}', str(path)],
        )

    def _read_example(self, name: str) -> dict[str, typing.Any]:
        return yaml.safe_load((self._example_folder / name).read_text())

    def _shift_server_ports(self) -> None:
        for database in self.settings_document['databases'].values():
            for server in database['servers'].values():
                server['port'] += self._port_offset

    def _read_hosts(self) -> dict[str, schema.HostSettings]:
        found = {}
        for path in sorted(self._example_folder.glob('host-*.yaml')):
            document = yaml.safe_load(path.read_text())
            for name in list(document):
                if name.endswith('_port'):
                    document[name] += self._port_offset
            document['platform_url'] = self.platform_url
            document['peers'] = [
                self._shift_peer_port(peer) for peer in document['peers']
            ]
            settings = schema.HostSettings.model_validate(document)
            found[settings.host] = settings
        return found

    def _shift_peer_port(self, peer: str) -> str:
        address, port = peer.split(':')
        return f'{address}:{int(port) + self._port_offset}'

    def _start_platform(self) -> None:
        port = self.standin_options.platform_port + self._port_offset
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
            '--connect-delay': self.standin_options.connect_delay,
            '--statement-delay': self.standin_options.statement_delay,
            '--apply-lag': self.standin_options.apply_lag,
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
            for database in self.settings.databases.values()
            for server in database.servers.values()
        ]
        ports.append(self.standin_options.platform_port + self._port_offset)
        for host in self.hosts.values():
            ports.extend((host.agent_port, host.operator_port, host.pool_port))
        return ports

    async def _wait_ports(self, ports: typing.Iterable[int]) -> None:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        for port in ports:
            while not _is_listening(port):
                if time.monotonic() > deadline:
                    raise TimeoutError(
                        f'nothing listens on port {port} after '
                        f'{START_TIMEOUT_SECONDS} s',
                    )
                await asyncio.sleep(POLL_INTERVAL_SECONDS)


def _is_listening(port: int) -> bool:
    with contextlib.closing(socket.socket()) as connection:
        connection.settimeout(0.2)
        return connection.connect_ex(('127.0.0.1', port)) == 0
