"""A small deployment: the project's processes, and stand-ins around them.

Each host has a loopback address of its own, so that the processes run with
the `run` command of deploy/system.toml as it is.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

import platform_stand_in
import servers

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('milano-nord', 'bergamo', 'brescia')
FRONT, READY, INTERNAL = 8465, 8460, 7560
HEARTBEAT_MS = 1200
BOUNDS = {
    'config_apply_ms': 3000, 'drain_ms': 7000, 'grace_s': 6,
    'loss_slack_ms': 200, 'evac_ms': 5000, 'thaw_ms': 300,
    'quota_window_s': 5, 'quota_overage': 0.1, 'quota_slack': 20,
}


class Record:
    """Writes what was sent, answered and run to record.txt of a case."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._started = time.monotonic()
        self._texts = []

    def lines_of(self, part):
        """Return the recorded lines that hold a text."""
        return '\n'.join(each for each in self._texts if part in each)

    def __call__(self, text):
        """Write a line with the seconds since the start."""
        self._texts.append(text)
        self._file.write(f'{time.monotonic() - self._started:8.3f} {text}\n')
        self._file.flush()


OPEN_CLIENTS = []


class AnswerError(Exception):
    """A host answered with ERROR; `code` is its first word."""

    def __init__(self, code, text):
        super().__init__(f'{code} {text}')
        self.code = code


class Client:
    """A requester with one session."""

    def __init__(self, name, record, reader, writer):
        self.name = name
        self.record = record
        self.reader = reader
        self.writer = writer
        self.count = 0
        self.state = 'I'

    @classmethod
    async def connect(cls, name, record, host, database, key):
        """Open a session at a host."""
        reader, writer = await asyncio.open_connection(
            host, FRONT, limit=2 * 1024 * 1024)
        client = cls(name, record, reader, writer)
        OPEN_CLIENTS.append(client)
        writer.write(f'START {database} {key}\r\n'.encode())
        await client._answer('START')
        return client

    async def run(self, text):
        """Run a statement; return (rows, MAC).

        Raises `AnswerError` for ERROR and `ConnectionError` if the
        connection ends before READY.
        """
        self.count += 1
        statement_id = f'{self.name}-{self.count}'
        self.record(f'client {self.name} sends {statement_id} {text}')
        self.writer.write(f'QUERY {statement_id} {text}\r\n'.encode())
        rows, mac = await self._answer(statement_id)
        return rows, mac, statement_id

    async def _answer(self, what):
        rows, mac, error = [], '', None
        while True:
            try:
                line = (await self.reader.readuntil(b'\r\n'))[:-2].decode()
            except (asyncio.IncompleteReadError, OSError) as failure:
                self.record(f'client {self.name} {what}: the connection ended '
                            f'({failure!r})')
                if error:
                    raise error from None
                raise ConnectionError(what) from None
            word, _, rest = line.partition(' ')
            self.record(f'client {self.name} {what} gets {line}')
            if word == 'ROW':
                rows.append(rest)
            elif word == 'COMPLETE':
                mac = rest
            elif word == 'ERROR':
                error = AnswerError(*rest.partition(' ')[::2])
            elif word == 'READY':
                self.state = rest[:1]
                if error:
                    raise error
                return rows, mac

    def close(self):
        """Close the connection."""
        self.writer.close()


class Deployment:
    """Hosts, one service with three servers, and the store."""

    def __init__(self, folder, *, hosts=3, sync_replicas=0, routes=(),
                 receive_s=(0.001, 0.001, 0.001), work_s=None,
                 open_route=False):
        self.record = Record(folder)
        base = _free_network(hosts + 5)
        self.hosts = [f'{base}.{index + 10}' for index in range(hosts)]
        self.group = servers.Group(
            'dele69a', self.record, sync_replicas=sync_replicas,
            work_s=work_s or (lambda text: 0.005))
        for index, zone in enumerate(ZONES):
            self.group.add(f'i-{index + 1}', zone, (f'{base}.{index + 2}',
                           6001), receive_s[index])
        self.platform = platform_stand_in.Platform(
            (f'{base}.1', 8466), [self.group], self.record)
        self.routes = routes
        self.folder = tempfile.TemporaryDirectory(prefix='egretstep-case-')
        self.processes = {}
        self.version = 0
        self.keys = {'tenant': ['key1'], 'other': ['key2']}

    async def start(self, hosts=None):
        """Start everything and wait until each host serves a write.

        `hosts` is how many hosts start now; the others may be added later.
        """
        hosts = len(self.hosts) if hosts is None else hosts
        for server in self.group.servers.values():
            await server.start()
        await self.platform.start(HEARTBEAT_MS / 1000)
        await asyncio.sleep(0.1)
        self.configure()
        for index in range(hosts):
            await self.start_host(index, is_first_start=True)
        ends_at = time.monotonic() + 25
        for host in self.hosts[:hosts]:
            while not await self._serves(host):
                if time.monotonic() > ends_at:
                    raise RuntimeError(f'{host} does not serve')
                await asyncio.sleep(0.2)
        self.record('all hosts serve')

    def configure(self):
        """Write the next version of the configuration."""
        self.version += 1
        routes = [
            {'database': name, 'service': 'dele69a', 'route_type': kind,
             'timeout_ms': timeout_ms, 'target_latency_ms': 250,
             'priority': 1, 'auth_exempt': is_open,
             **({} if kind == 'primary' else {'max_staleness_ms': 1500})}
            for name, kind, timeout_ms, is_open in self.routes
        ]
        self.platform.put('op', 'config', json.dumps({
            'version': self.version,
            'routes': routes,
            'services': [{'name': 'dele69a', 'max_conns': 22,
                          'sync_replicas': self.group.sync_replicas}],
            'limits': {'tx_idle_ms': 3000},
            'tenants': [{'name': name, 'api_keys': keys,
                         'rate_per_s': 500, 'burst': 500}
                        for name, keys in self.keys.items()],
        }).encode())
        self.record(f'configuration {self.version} is acknowledged; keys: '
                    f'{self.keys}')

    async def start_host(self, index, *, is_first_start=False):
        """Start the process of a host."""
        ip = self.hosts[index]
        path = pathlib.Path(self.folder.name) / f'{index}.json'
        path.write_text(json.dumps({
            'node_name': f'front-{index + 1}', 'role': 'node',
            'machine_class': 'front', 'serves': ['front'], 'ip': ip,
            'zone': ZONES[index % 3], 'region': 'lombardia',
            'zones': dict.fromkeys(ZONES, 'lombardia'),
            'bind_addrs': {'front': f'{ip}:{FRONT}',
                           'ready': f'{ip}:{READY}'},
            'internal_ports': [INTERNAL, INTERNAL + 15], 'seeds': [],
            'bootstrap': is_first_start,
            'limits': {'cpu_share': 0.537, 'cores': 2, 'memory_mb': 300,
                       'max_fds': 1024, 'link_mbps': 1000},
            'heartbeat_ms': HEARTBEAT_MS, 'bounds': BOUNDS,
            'platform': {'address': f'{self.platform.host}:8466',
                         'row_bytes': 65536, 'history_s': 20},
            'cloud_api': {'address': f'{self.platform.host}:8466',
                          'duties': ['failover']},
        }))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['node']['run'].split()
        if command[0] == 'python3':
            command[0] = sys.executable
        with (path.with_suffix('.log')).open('ab') as log:
            self.processes[index] = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log,
                env={'PATH': os.environ.get('PATH', ''),
                     'HOME': self.folder.name,
                     'PYTHONPATH': str(ROOT / 'target/deps'),
                     'EGRETSTEP_CONFIG': str(path)})
        self.record(f'host {index} is started as process '
                    f'{self.processes[index].pid}')

    def send_signal(self, index, number):
        """Send a signal to a host's process."""
        self.record(f'host {index} gets {signal.Signals(number).name}')
        self.processes[index].send_signal(number)

    def owner(self):
        """Return the index of the host that owns the service."""
        content, _ = self.platform.rows['fleet', 'task/service-dele69a']
        return int(json.loads(content)['host'].rpartition('-')[2]) - 1

    def log(self, index):
        """Return what a host has written."""
        return (pathlib.Path(self.folder.name) / f'{index}.log').read_text()

    async def connect(self, name, index, database):
        """Open a session at a host."""
        return await Client.connect(name, self.record, self.hosts[index],
                                    database, 'key1')

    async def stop(self):
        """End all processes that this deployment started."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        self.platform.stop()
        for server in self.group.servers.values():
            if server.is_up:
                await server.crash()
        for client in OPEN_CLIENTS:
            client.close()
        await asyncio.sleep(0.1)
        self.folder.cleanup()

    async def _serves(self, host):
        try:
            client = await Client.connect(
                'probe', lambda text: None, host, self.routes[0][0], 'key1')
            await client.run('WRITE probe 1')
            client.close()
        except (OSError, AnswerError):
            return False
        return True


def _free_network(count):
    """Return the first three numbers of loopback addresses with free ports."""
    for _ in range(50):
        base = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        try:
            for last in range(1, count + 20):
                for port in (FRONT, READY, INTERNAL, 8466, 9464, 6001):
                    with socket.socket() as probe:
                        probe.bind((f'{base}.{last}', port))
        except OSError:
            continue
        return base
    raise RuntimeError('no free loopback addresses')


def main(case):
    """Run a case; exit with 1 if the rule broke, 0 if not, 2 if it can't run.

    `case(folder, has_trouble)` returns the breaches that it has found.
    """
    folder = pathlib.Path(sys.argv[1])
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        found = asyncio.run(asyncio.wait_for(case(folder, has_trouble), 110))
    except Exception as error:
        print(f'the case could not run: {error!r}')
        sys.exit(2)
    for line in found:
        print(line)
    print('the rule was broken' if found else 'the rule held')
    sys.exit(1 if found else 0)
