"""Starts an example deployment as separate processes on this machine.

Demo, scenarios and measurements use it. All ports are moved by an offset,
so that several deployments can run side by side.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import yaml

from egretstep.operators import client
from egretstep.settings import freshness, schema

START_SECONDS = 30.0
STOP_SECONDS = 12.0
PROGRAMS = ('agent', 'pool', 'entry')
ROOT = pathlib.Path(__file__).resolve().parent.parent


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Delays:
    """Delays of the stand-ins, in seconds."""

    platform_port: int
    connect_delay: float = 0.01
    statement_delay: float = 0
    apply_lag: float = 0


class Fleet:
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
        self._folder = ROOT / 'examples' / example
        self._offset = port_offset
        self._quiet = quiet
        self._database_options = tuple(database_options)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._directory = tempfile.TemporaryDirectory(prefix='egretstep-')
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
            await asyncio.sleep(0.1)
        raise TimeoutError(f'not all of {wanted} are served')

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
        path = pathlib.Path(self._directory.name) / f'{host}.yaml'
        path.write_text(
            yaml.safe_dump(self.hosts[host].model_dump(mode='json')),
        )
        self._spawn(
            f'{host}/{program}',
            [f'egretstep.programs.{program}', str(path)],
        )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process, by its name."""
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process, by its name."""
        self.send_signal(name, signal.SIGKILL)
        self._processes.pop(name).wait()

    def terminate(self, name: str) -> None:
        """Stop one process on plan, and wait for its end."""
        self.send_signal(name, signal.SIGTERM)
        self._processes.pop(name).wait(STOP_SECONDS)

    def kill_host(self, host: str) -> None:
        """Kill all programs of a host at once."""
        names = [
            name for name in self._processes if name.startswith(f'{host}/')
        ]
        for name in names:
            self.send_signal(name, signal.SIGKILL)
        for name in names:
            self._processes.pop(name).wait()

    def freeze(self, name: str) -> None:
        """Stop a process without ending it."""
        self.send_signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self.send_signal(name, signal.SIGCONT)

    def process_id(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def names(self) -> list[str]:
        """Return the names of all processes."""
        return list(self._processes)

    def last_lines(self, count: int) -> str:
        """Return the last lines that each quiet process has written."""
        paths = sorted(pathlib.Path(self._directory.name).glob('*.log'))
        return '\n'.join(
            f'{path.stem}: {line}'
            for path in paths
            for line in path.read_text().splitlines()[-count:]
        )

    def stop(self) -> None:
        """End every process and remove the files."""
        # Hosts end before what they work on, as in a planned stop.
        names = sorted(self._processes, key=lambda name: '/' not in name)
        for name in names:
            self.thaw(name)
            self.send_signal(name, signal.SIGTERM)
        deadline = time.monotonic() + STOP_SECONDS
        for process in self._processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.1, deadline - time.monotonic()))
            if process.poll() is None:
                process.kill()
                process.wait()
        self._processes.clear()
        self._directory.cleanup()

    def kill_all(self) -> None:
        """Kill every process at once, for tests that need no clean end."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()
        self._directory.cleanup()

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
        self._spawn('platform', ['standins.platform', '--port', str(port)])

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
        self._spawn(
            name,
            ['standins.database', *arguments, *self._database_options],
        )

    def _spawn(self, name: str, arguments: list[str]) -> None:
        output = self._log_path(name).open('ab') if self._quiet else None
        environment = {
            **os.environ,
            'PYTHONPATH': f'{ROOT / "src"}{os.pathsep}{ROOT}',
        }
        self._processes[name] = subprocess.Popen(
            [sys.executable, '-m', *arguments],
            cwd=ROOT,
            env=environment,
            stdout=output,
            stderr=output,
        )
        if output:
            output.close()

    def _log_path(self, name: str) -> pathlib.Path:
        file_name = name.replace('/', '-')
        return pathlib.Path(self._directory.name) / f'{file_name}.log'

    def _control_ports(self) -> list[int]:
        ports = [
            server.port
            for database in self.fleet.databases.values()
            for server in database.servers.values()
        ]
        for host in self.hosts.values():
            ports.extend((host.agent_port, host.operator_port, host.pool_port))
        return ports

    async def _wait_ports(self, ports: typing.Iterable[int]) -> None:
        deadline = time.monotonic() + START_SECONDS
        for port in ports:
            while not _is_listening(port):
                if time.monotonic() > deadline:
                    raise TimeoutError(f'nothing listens on port {port}')
                await asyncio.sleep(0.05)


def _is_listening(port: int) -> bool:
    with contextlib.closing(socket.socket()) as probe:
        probe.settimeout(0.2)
        return probe.connect_ex(('127.0.0.1', port)) == 0
