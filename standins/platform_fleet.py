"""Runs a small deployment on the stand-in for the platform, on loopback.

Each host is a process; the store and the servers run in the process of the
test.
"""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
import typing

import orjson

from standins import (
    platform_caller,
    platform_servers,
    platform_sessions,
    platform_store,
    processes,
)

ZONES = ('north', 'middle', 'south')
PRINTED_LOG_LINES = 60
READY_TIMEOUT_SECONDS = 15.0
BOUNDED_DATABASE = 'stock'
SESSION_DATABASE = 'status'
NURSES_KEY = 'key-of-nurses'
_PORTS_PER_HOST = 8


class PlatformFleet:
    """The store, the services and the host processes of one deployment.

    `first_port` is the first of `_PORTS_PER_HOST` ports of each host. `rate`
    is the rate limit of each workspace in requests per second, and `sync_replicas`
    is that of each service. Hosts report usage for windows of
    `report_window` seconds, if it is given. The routes of `added_databases`
    come with the next version of the configuration. `limits` are added to
    those of the hosts' settings files.
    """

    def __init__(
        self,
        *,
        hosts: int = 3,
        first_port: int = 23000,
        services: typing.Sequence[str] = ('ledger',),
        rate: float = 500,
        sync_replicas: int = 0,
        report_window: float | None = None,
        limits: typing.Mapping[str, int] | None = None,
    ) -> None:
        self.groups = [
            platform_sessions.make_group(
                service, ZONES, sync_replicas=sync_replicas
            )
            for service in services
        ]
        self.store = platform_store.PlatformStore(groups=self.groups)
        self.version = 1
        self.added_databases: list[str] = []
        self.keys = {
            'depot': [platform_caller.DEPOT_KEY],
            'nurses': [NURSES_KEY],
        }
        self._host_count = hosts
        self._first_port = first_port
        self._rate = rate
        self._report_window = report_window
        self._limits = limits or {}
        self._directory = tempfile.TemporaryDirectory()
        self._processes: dict[int, asyncio.subprocess.Process] = {}

    @property
    def group(self) -> platform_servers.Group:
        """Return the servers of the first service."""
        return self.groups[0]

    async def __aenter__(self) -> typing.Self:
        """Start everything and wait until the hosts serve.

        After an error, stops everything and raises it again.
        """
        try:
            await self._start()
        except BaseException as error:
            await self.__aexit__(error)
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        """Stop everything; after an error, print the end of each host's log."""
        for index in list(self._processes):
            await self.stop_host(index, signal.SIGKILL)
        if any(error):
            lines = processes.last_lines(self._host_folder, PRINTED_LOG_LINES)
            sys.stderr.write(f'{lines}\n')
        await self.store.stop()
        for group in self.groups:
            await group.stop()
        self._directory.cleanup()

    @property
    def _host_folder(self) -> pathlib.Path:
        return pathlib.Path(self._directory.name)

    def port(self, index: int) -> int:
        """Return the port on which a host accepts callers."""
        return self._first_port + index * _PORTS_PER_HOST

    def metrics_port(self, index: int) -> int:
        """Return the port on which a host serves its metrics."""
        return self.port(index) + _PORTS_PER_HOST - 1

    def store_port(self, _index: int) -> int:
        """Return the port on which a host reaches the store."""
        return self.store.port

    def exit_code(self, index: int) -> int | None:
        """Return the exit code of a host's process, None while it runs."""
        return self._processes[index].returncode

    def process_id(self, index: int) -> int:
        """Return the operating system's id of a host's process."""
        return self._processes[index].pid

    def read_log(self, index: int) -> str:
        """Return the log of a host."""
        return self._log_path(index).read_text()

    def configure(self) -> None:
        """Write the next version of the configuration to the store."""
        self.version += 1
        self.store.put('op', 'config', orjson.dumps(self._configuration()))

    def owner(self) -> int:
        """Return the index of the host that the store has as the owner."""
        key = f'task/service-{self.group.service}'
        content, _ = self.store.rows['fleet', key]
        name = orjson.loads(content)['host']
        return int(name.removeprefix('host-'))

    async def start_host(self, index: int) -> None:
        """Write the settings file of a host and start its process."""
        path = self._host_folder / f'host-{index}.json'
        path.write_bytes(orjson.dumps(self._node_settings(index)))
        with self._log_path(index).open('ab') as log:
            self._processes[index] = await asyncio.create_subprocess_exec(
                sys.executable,
                str(processes.ROOT / 'src' / 'node.py'),
                '--metrics-port',
                str(self.metrics_port(index)),
                env={**os.environ, 'EGRETSTEP_CONFIG': str(path)},
                stdout=log,
                stderr=log,
            )

    def signal_host(self, index: int, number: signal.Signals) -> None:
        """Send a signal to a host's process."""
        self._processes[index].send_signal(number)

    async def stop_host(
        self,
        index: int,
        number: signal.Signals = signal.SIGTERM,
    ) -> None:
        """Resume a host's process, send it a signal and wait for its end."""
        process = self._processes.pop(index)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
            process.send_signal(number)
        await process.wait()

    async def wait_serving(self) -> None:
        """Wait until every host accepts writes.

        Raises `TimeoutError` after `READY_TIMEOUT_SECONDS`.
        """
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for index in self._processes:
                while not await self._accepts_writes(index):
                    await asyncio.sleep(0.1)

    async def _start(self) -> None:
        for group in self.groups:
            await group.start()
        await self.store.start()
        await self._before_registration()
        self.store.register_all()
        self.configure()
        for index in range(self._host_count):
            await self.start_host(index)
        await self.wait_serving()

    async def _before_registration(self) -> None:
        """Hook for subclasses, called before the servers are registered."""

    async def _accepts_writes(self, index: int) -> bool:
        try:
            caller = await platform_caller.Caller.connect(self.port(index))
            await caller.run('WRITE probe 1')
        except (OSError, platform_caller.AnswerError):
            return False
        caller.close()
        return True

    def _log_path(self, index: int) -> pathlib.Path:
        return self._host_folder / f'host-{index}.log'

    def _node_settings(self, index: int) -> dict[str, typing.Any]:
        port = self.port(index)
        return {
            'node_name': f'host-{index}',
            'ip': '127.0.0.1',
            'zone': ZONES[index % len(ZONES)],
            'bind_addrs': {
                'front': f'127.0.0.1:{port}',
                'ready': f'127.0.0.1:{port + 1}',
            },
            'internal_ports': [port + 2, port + 6],
            'bootstrap': True,
            'limits': {
                'cpu_share': 1,
                'cores': 1,
                'link_mbps': 1000,
                **self._limits,
            },
            'heartbeat_ms': 1200,
            'bounds': {
                'grace_s': 6,
                'config_apply_ms': 3000,
                'drain_ms': 7000,
                'evac_ms': 5000,
                **self._usage_bounds(),
            },
            'platform': {
                'address': f'127.0.0.1:{self.store_port(index)}',
                'row_bytes': 65536,
                'history_s': 20,
            },
            'cloud_api': {
                'address': f'127.0.0.1:{self.store_port(index)}',
                'duties': ['failover', 'usage'],
            },
        }

    def _usage_bounds(self) -> dict[str, float]:
        if self._report_window is None:
            return {}
        return {
            'report_window_s': self._report_window,
            'usage_late_s': 10,
            'lease_ms': 1000,
        }

    def _configuration(self) -> dict[str, typing.Any]:
        service = self.group.service
        routes = [
            _route(platform_caller.DATABASE, service, 'primary'),
            _route(BOUNDED_DATABASE, service, 'bounded_staleness'),
            _route(SESSION_DATABASE, service, 'read_your_writes'),
        ]
        for name in self.added_databases:
            routes.append(_route(name, service, 'primary'))
        for group in self.groups[1:]:
            name = f'{platform_caller.DATABASE}-{group.service}'
            routes.append(_route(name, group.service, 'primary'))
        return {
            'version': self.version,
            'routes': routes,
            'services': [
                {
                    'name': group.service,
                    'max_conns': 22,
                    'sync_replicas': group.sync_replicas,
                }
                for group in self.groups
            ],
            'limits': {'tx_idle_ms': 3000},
            'tenants': [
                {
                    'name': name,
                    'api_keys': keys,
                    'rate_per_s': self._rate,
                    'burst': self._rate,
                }
                for name, keys in self.keys.items()
            ],
        }


def _route(database: str, service: str, kind: str) -> dict[str, typing.Any]:
    fields: dict[str, typing.Any] = {
        'database': database,
        'service': service,
        'route_type': kind,
        'timeout_ms': 800,
        'target_latency_ms': 200,
        'priority': 1,
    }
    if kind != 'primary':
        fields['max_staleness_ms'] = 1500
    return fields
