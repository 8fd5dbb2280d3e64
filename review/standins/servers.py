"""A service: one primary and its replicas, each with a log and slots."""

import asyncio
import collections.abc
import dataclasses
import itertools
import time
import typing

from standins import record

HANDSHAKE_SECONDS = 0.012
HEARTBEAT_SECONDS = 1.2
OLD_PRIMARY_SECONDS = 1.0
SHORT_COMMANDS = frozenset(('SET', 'PREPARE', 'DEALLOC', 'RESET', 'ROLLBACK'))
_macs = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A committed transaction: its position, its writes and its request."""

    term: int
    number: int
    writes: tuple[tuple[str, str], ...]
    request: str

    @property
    def position(self) -> str:
        """Return the position as it stands on the wire."""
        return f'{self.term}.{self.number}'


class RefusedError(Exception):
    """A statement ends with ERROR; the text is its code."""


class Server:
    """One server.

    `receive_seconds` is how long a commit of the primary takes to reach it,
    `lag_seconds` how much later it is applied. `is_deaf` stops the receiving.
    `slow_factor` stretches all of its work.
    """

    def __init__(self, group: 'Group', name: str, zone: str, ip: str) -> None:
        self.group = group
        self.name = name
        self.zone = zone
        self.ip = ip
        self.is_primary = False
        self.is_down = False
        self.is_deaf = False
        self.state = 'ready'
        self.term = 1
        self.log: list[Entry] = []
        self.receive_seconds = 0.001
        self.lag_seconds = 0.06
        self.slow_factor = 1.0
        self.busy = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._applied_at: list[float] = []
        self._waiting = 0
        self._slots = asyncio.Semaphore(group.slots)
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on the server's address."""
        self._listener = await asyncio.start_server(
            self._serve, self.ip, self.group.port
        )

    def crash(self) -> None:
        """Stop listening and break all connections; the log stays."""
        self.is_down = True
        self.group.events.add('server-crash', server=self.name)
        if self._listener is not None:
            self._listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def register(self) -> None:
        """Write the server's entry to the store."""
        self._sequence += 1
        self.group.store.put(
            'servers',
            self.name,
            {
                'service': self.group.service,
                'address': f'{self.ip}:{self.group.port}',
                'zone': self.zone,
                'version': 'v1',
                'slots': self.group.slots,
                'state': self.state,
                'cold_remaining_ms': 0,
                'db_role': 'primary' if self.is_primary else 'replica',
                'sequence': self._sequence,
                'born': self._born,
            },
        )

    def drain(self) -> None:
        """Report that the server is about to leave."""
        self.state = 'draining'
        self.group.events.add('server-draining', server=self.name)
        self.register()

    @property
    def received(self) -> str:
        """Return the newest position in the log."""
        return self.log[-1].position if self.log else f'{self.term}.0'

    def append(self, entry: Entry) -> None:
        """Add an entry to the log."""
        lag = 0.0 if self.is_primary else self.lag_seconds
        self.log.append(entry)
        self._applied_at.append(time.monotonic() + lag)

    def follow(self, leader: 'Server') -> None:
        """Become a replica of another server and take over its log."""
        self.is_primary = False
        self.term = leader.term
        for entry in self.log:
            if entry not in leader.log:
                self.group.events.add(
                    'rolled-back',
                    server=self.name,
                    position=entry.position,
                    id=entry.request,
                )
        self.log = list(leader.log)
        self._applied_at = [time.monotonic()] * len(self.log)

    def applied(self) -> list[Entry]:
        """Return the applied part of the log."""
        if self.is_primary:
            return self.log
        now = time.monotonic()
        count = sum(1 for at in self._applied_at if at <= now)
        return self.log[:count]

    async def use_slot(self, seconds: float) -> None:
        """Occupy a slot for a while; raises `RefusedError` if all are full."""
        if self._waiting >= self.group.queue:
            raise RefusedError('BUSY')
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self.busy += 1
        try:
            await asyncio.sleep(seconds * self.slow_factor)
        finally:
            self.busy -= 1
            self._slots.release()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            await _Session(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()


@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """A promotion that took effect: its time, and the new term and log."""

    at: float
    server: Server
    term: int
    log: tuple[Entry, ...]


class Group:
    """The servers of one service; the first one is the first primary.

    `work` returns the seconds of a statement's work from its text.
    """

    def __init__(
        self,
        *,
        service: str,
        places: collections.abc.Sequence[tuple[str, str]],
        port: int,
        store: typing.Any,
        events: record.Record,
        work: collections.abc.Callable[[str], float],
        slots: int = 3,
        queue: int = 24,
        max_conns: int = 22,
        sync_replicas: int = 0,
        promote_seconds: float = 1.0,
    ) -> None:
        self.service = service
        self.port = port
        self.store = store
        self.events = events
        self.work = work
        self.slots = slots
        self.queue = queue
        self.max_conns = max_conns
        self.sync_replicas = sync_replicas
        self.promote_seconds = promote_seconds
        self.servers = {
            f'i-{service}-{number}': Server(
                self, f'i-{service}-{number}', zone, ip
            )
            for number, (zone, ip) in enumerate(places)
        }
        self.leader = next(iter(self.servers.values()))
        self.leader.is_primary = True
        self.takeovers: list[Takeover] = []
        self.commits: list[tuple[float, Server, Entry]] = []
        # When each request got to a server that ran it.
        self.arrivals: dict[str, float] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    async def start(self) -> None:
        """Start all servers and their heartbeats."""
        for server in self.servers.values():
            await server.start()
            server.register()
        self._spawn(self._beat())

    def stop(self) -> None:
        """End all servers."""
        for task in self._tasks:
            task.cancel()
        for server in self.servers.values():
            if not server.is_down:
                server.crash()

    def promote(self, name: str) -> bool:
        """Begin a promotion; return false if the server is not running."""
        server = self.servers.get(name)
        if server is None or server.is_down:
            return False
        if server is not self.leader:
            self._spawn(self._promote(server))
        return True

    async def commit(
        self, server: Server, writes: tuple[tuple[str, str], ...], request: str
    ) -> Entry:
        """Commit at a primary; waits for a replica if the service says so."""
        number = server.log[-1].number + 1 if server.log else 1
        entry = Entry(server.term, number, writes, request)
        server.append(entry)
        self.commits.append((self.events.now(), server, entry))
        self.events.add(
            'commit', server=server.name, position=entry.position, id=request
        )
        received = [
            self._spawn(self._replicate(server, replica, entry))
            for replica in self.servers.values()
            if replica is not server
        ]
        if self.sync_replicas and received:
            pending = set(received)
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                if any(each.result() for each in done):
                    return entry
            await asyncio.Event().wait()
        return entry

    async def _replicate(
        self, primary: Server, replica: Server, entry: Entry
    ) -> bool:
        await asyncio.sleep(replica.receive_seconds)
        # What the primary has sent is on its way also after its crash.
        while replica.is_deaf:
            await asyncio.sleep(0.01)
            if primary.is_down:
                return False
        is_next = len(replica.log) == primary.log.index(entry)
        if replica.is_down or replica.is_primary or not is_next:
            return False
        if replica.term != primary.term:
            return False
        replica.append(entry)
        return True

    async def _promote(self, server: Server) -> None:
        await asyncio.sleep(self.promote_seconds)
        if server.is_down or server is self.leader:
            return
        former = self.leader
        self.leader = server
        server.term = max(each.term for each in self.servers.values()) + 1
        server.is_primary = True
        now = self.events.add(
            'takeover',
            server=server.name,
            term=server.term,
            received=server.received,
        )
        self.takeovers.append(
            Takeover(now, server, server.term, tuple(server.log))
        )
        for other in self.servers.values():
            if other not in {server, former} and not other.is_down:
                other.follow(server)
                other.register()
        server.register()
        await asyncio.sleep(OLD_PRIMARY_SECONDS)
        if not former.is_down and former is not self.leader:
            former.follow(self.leader)
            former.register()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for server in self.servers.values():
                if server.is_down:
                    continue
                server.register()

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> asyncio.Task[typing.Any]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


class _Session:
    """One connection to a server."""

    def __init__(
        self,
        server: Server,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._server = server
        self._reader = reader
        self._writer = writer
        self._state = 'I'
        self._is_read_only = False
        self._writes: list[tuple[str, str]] = []
        self._shapes: dict[str, str] = {}
        self._tenant = ''

    async def run(self) -> None:
        """Serve statements until the other side closes."""
        fields = (await self._reader.readuntil(b'\r\n')).decode().split()
        server = self._server
        if len(server.writers) > server.group.max_conns:
            self._send('ERROR CONNLIMIT')
            return
        names = (server.group.service, server.name)
        if fields[1] != names[0] or (len(fields) > 3 and fields[3] != names[1]):
            self._send('ERROR WRONGNODE')
            return
        self._tenant = fields[2]
        try:
            await server.use_slot(HANDSHAKE_SECONDS)
        except RefusedError as error:
            self._send(f'ERROR {error}')
            return
        self._send(self._ready())
        while True:
            line = (await self._reader.readuntil(b'\r\n')).decode()
            word, _, rest = line.rstrip('\r\n').partition(' ')
            if word == 'BYE':
                return
            statement_id, _, text = rest.partition(' ')
            try:
                lines = await self._run(statement_id, text)
            except RefusedError as error:
                if self._state == 'T':
                    self._state = 'E'
                lines = [f'ERROR {error} {server.name}']
            self._send(*lines, self._ready())

    def _send(self, *lines: str) -> None:
        self._writer.write(''.join(f'{line}\r\n' for line in lines).encode())

    def _ready(self) -> str:
        return f'READY {self._state} {self._server.received}'

    async def _run(self, statement_id: str, text: str) -> list[str]:
        server = self._server
        words = text.split(' ')
        if words[0] == 'SYNCPOS':
            self._check_position(words[1])
            words = words[2:]
        verb = words[0]
        if verb in SHORT_COMMANDS:
            return self._change_session(words)
        if verb == 'STATUS':
            await server.use_slot(0.0005)
            return self._status()
        if verb == 'STEPDOWN':
            if server.is_primary and int(words[1]) > server.term:
                server.is_primary = False
            return self._status()
        if self._state == 'E':
            raise RefusedError('MALFORMED')
        if verb == 'BEGIN':
            self._is_read_only = words[1:] == ['READ']
            if not self._is_read_only and not server.is_primary:
                raise RefusedError('READONLY')
            self._state = 'T'
            return ['COMPLETE -']
        server.group.arrivals.setdefault(
            statement_id, server.group.events.now()
        )
        await server.use_slot(server.group.work(' '.join(words)))
        return await self._execute(statement_id, words)

    def _check_position(self, position: str) -> None:
        term, _, number = position.partition('.')
        if int(number) and not any(
            entry.position == position for entry in self._server.applied()
        ):
            raise RefusedError('LAGGING')

    def _change_session(self, words: list[str]) -> list[str]:
        if words[0] == 'PREPARE':
            self._shapes[words[1]] = words[2]
        elif words[0] == 'RESET':
            self._shapes.clear()
        elif words[0] == 'ROLLBACK':
            self._state = 'I'
            self._writes.clear()
        return ['COMPLETE -']

    def _status(self) -> list[str]:
        server = self._server
        role = 'primary' if server.is_primary else 'replica'
        return [
            f'ROW {role} {server.term} {server.received} 0 0 {server.busy}'
            f' {len(server.writers)}',
            'COMPLETE -',
        ]

    async def _execute(self, statement_id: str, words: list[str]) -> list[str]:
        server = self._server
        verb = words[0]
        if verb == 'EXECUTE':
            if words[1] not in self._shapes:
                raise RefusedError('NOSTMT')
            verb = self._shapes[words[1]]
            words = words[1:]
        writes = verb == 'WRITE' or (verb == 'COMMIT' and bool(self._writes))
        in_plain_transaction = self._state == 'T' and not self._is_read_only
        if not server.is_primary and (
            writes or (in_plain_transaction and verb != 'COMMIT')
        ):
            raise RefusedError('READONLY')
        server.group.events.add(
            'run',
            server=server.name,
            tenant=self._tenant,
            id=statement_id,
            text=repr(' '.join(words)),
            log=server.applied()[-1].position if server.applied() else '-',
        )
        rows = []
        if verb == 'READ':
            rows = [f'ROW {self._read(words[1])}']
        if verb == 'WRITE':
            self._writes.append((words[1], words[2]))
        if verb == 'COMMIT' or (verb == 'WRITE' and self._state == 'I'):
            if self._writes:
                written = tuple(self._writes)
                await server.group.commit(server, written, statement_id)
            self._writes.clear()
            self._state = 'I'
        return [
            *rows,
            f'COMPLETE {server.term}.mac.{server.name}.{next(_macs)}',
        ]

    def _read(self, item: str) -> str:
        for entry in reversed(self._server.applied()):
            for name, content in reversed(entry.writes):
                if name == item:
                    return content
        return 'none'
