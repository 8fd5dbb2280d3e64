"""Stand-in for the platform's database servers: one group on loopback.

All servers of a group live in one process. It keeps what callers and tests
need to check promises: every statement that ran, under which workspace, on
which log, and with which session values.
"""

import asyncio
import collections
import dataclasses
import itertools
import typing

LINE_END = b'\r\n'
PROMOTION_SECONDS = 0.2
_numbers = itertools.count(1)

Position = tuple[int, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A statement that a server ran."""

    server: str
    workspace: str
    statement_id: str
    text: str
    values: tuple[tuple[str, str], ...]
    position: Position
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """A committed transaction in the log."""

    position: Position
    writes: tuple[tuple[str, str], ...]
    at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults of one server, set while it runs; times in seconds."""

    is_silent: bool = False
    is_down: bool = False
    lag: float = 0.02
    work: float = 0.002
    lost_answers: int = 0
    connection_limit: int = 22


class Server:
    """One server of a group."""

    def __init__(self, *, name: str, group: 'Group', zone: str) -> None:
        self.name = name
        self.group = group
        self.zone = zone
        self.is_primary = False
        self.term = 1
        self.state = 'ready'
        self.log: list[Entry] = []
        self.faults = Faults()
        self.port = 0
        self.announced_port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None

    @property
    def position(self) -> Position:
        """Return the last position of the log that is applied."""
        now = asyncio.get_running_loop().time()
        lag = 0 if self.is_primary else self.faults.lag
        for entry in reversed(self.log):
            if entry.at + lag <= now:
                return entry.position
        return (1, 0)

    @property
    def received(self) -> Position:
        """Return the last position of the log."""
        return self.log[-1].position if self.log else (1, 0)

    async def start(self) -> None:
        """Listen on loopback; the port stays the same after a restart."""
        self._listener = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            self.port,
        )
        self.port = self._listener.sockets[0].getsockname()[1]
        self.faults.is_down = False

    async def stop(self) -> None:
        """Crash: close everything; the log stays."""
        self.faults.is_down = True
        if self._listener is not None:
            self._listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def registration(self) -> dict[str, typing.Any]:
        """Return what the server writes of itself into the store."""
        return {
            'service': self.group.service,
            'address': f'127.0.0.1:{self.announced_port or self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.group.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'db_role': 'primary' if self.is_primary else 'replica',
            'sequence': 1,
            'born': 1,
        }

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.writers.add(writer)
        try:
            await _Connection(server=self, reader=reader, writer=writer).run()
        except OSError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()


class Group:
    """A service with one primary and its replicas."""

    def __init__(
        self,
        *,
        service: str,
        zones: typing.Sequence[str],
        slots: int = 3,
    ) -> None:
        self.service = service
        self.slots = slots
        self.servers = {
            f'{service}-{index}': Server(
                name=f'{service}-{index}',
                group=self,
                zone=zone,
            )
            for index, zone in enumerate(zones)
        }
        self.runs: list[Run] = []
        self.connects: collections.Counter[str] = collections.Counter()
        self.on_change: typing.Callable[[], None] = lambda: None
        next(iter(self.servers.values())).is_primary = True

    @property
    def primary(self) -> Server:
        """Return the primary of the latest term."""
        leading = [each for each in self.servers.values() if each.is_primary]
        return max(leading, key=lambda server: server.term)

    async def start(self) -> None:
        """Start all servers."""
        for server in self.servers.values():
            await server.start()

    async def stop(self) -> None:
        """Stop all servers."""
        for server in self.servers.values():
            await server.stop()

    def commit(
        self,
        primary: Server,
        writes: typing.Sequence[tuple[str, str]],
    ) -> Position:
        """Append a transaction and send it to the replicas."""
        position = (primary.term, primary.received[1] + 1)
        now = asyncio.get_running_loop().time()
        entry = Entry(position=position, writes=tuple(writes), at=now)
        primary.log.append(entry)
        for server in self.servers.values():
            follows = not server.is_primary and not server.faults.is_down
            if follows and server.received == _before(primary):
                server.log.append(entry)
        return position

    async def promote(self, name: str) -> bool:
        """Make a server the primary of the next term after a while."""
        chosen = self.servers.get(name)
        if chosen is None or chosen.faults.is_down:
            return False
        if chosen is self.primary:
            return True
        asyncio.ensure_future(self._lead(chosen))
        return True

    async def _lead(self, chosen: Server) -> None:
        await asyncio.sleep(PROMOTION_SECONDS)
        term = max(server.term for server in self.servers.values()) + 1
        for server in self.servers.values():
            server.is_primary = server is chosen
            server.term = term
            server.log = list(chosen.log)
        self.on_change()


def _before(primary: Server) -> Position:
    return primary.log[-2].position if len(primary.log) > 1 else (1, 0)


class _StatementError(Exception):
    """An ERROR answer with its code."""


class _Connection:
    """One session at a server."""

    def __init__(
        self,
        *,
        server: Server,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._server = server
        self._reader = reader
        self._writer = writer
        self._workspace = ''
        self._values: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self._state = 'I'
        self._writes: list[tuple[str, str]] = []

    async def run(self) -> None:
        """Serve until the other end closes."""
        if not await self._start():
            return
        while True:
            line = await self._reader.readline()
            if not line:
                return
            while self._server.faults.is_silent:
                await asyncio.sleep(0.01)
            _, statement_id, text = line.decode().rstrip('\r\n').split(' ', 2)
            answer = await self._answer(statement_id, text)
            lost = self._server.faults.lost_answers
            if lost and statement_id != '-':
                self._server.faults.lost_answers -= 1
                continue
            self._send(*answer)

    async def _start(self) -> bool:
        fields = (await self._reader.readline()).decode().split()
        while self._server.faults.is_silent:
            await asyncio.sleep(0.01)
        if len(self._server.writers) > self._server.faults.connection_limit:
            self._send(f'ERROR CONNLIMIT {self._server.name}')
            return False
        if not fields:
            return False
        service = self._server.group.service
        if fields[1] != service or fields[3] != self._server.name:
            self._send(f'ERROR WRONGNODE {self._server.name}')
            return False
        self._workspace = fields[2]
        self._server.group.connects[self._server.name] += 1
        self._send(self._ready())
        return True

    def _send(self, *lines: str) -> None:
        text = ''.join(f'{line}\r\n' for line in lines)
        self._writer.write(text.encode())

    def _ready(self) -> str:
        term, number = self._server.position
        return f'READY {self._state} {term}.{number}'

    async def _answer(self, statement_id: str, text: str) -> list[str]:
        try:
            lines = await self._execute(statement_id, text)
        except _StatementError as error:
            if self._state == 'T':
                self._state = 'E'
            lines = [f'ERROR {error} {self._server.name}']
        return [*lines, self._ready()]

    async def _execute(self, statement_id: str, text: str) -> list[str]:
        words = text.split(' ')
        if words[0] == 'SYNCPOS':
            self._check_position(words[1])
            words = words[2:]
        verb = words[0]
        if verb in {'SET', 'PREPARE', 'RESET'}:
            return self._change_session(words)
        if verb in {'STATUS', 'STEPDOWN'}:
            return self._status(verb)
        if verb == 'BEGIN':
            return self._begin(words)
        if verb == 'ROLLBACK':
            self._state = 'I'
            self._writes = []
            return ['COMPLETE -']
        return await self._run(statement_id, text, words)

    def _check_position(self, text: str) -> None:
        term, _, number = text.partition('.')
        if self._server.position < (int(term), int(number)):
            raise _StatementError('LAGGING')

    def _change_session(self, words: list[str]) -> list[str]:
        if words[0] == 'SET':
            self._values[words[1]] = ' '.join(words[2:])
        elif words[0] == 'PREPARE':
            self._prepared[words[1]] = words[2]
        else:
            self._values = {}
            self._prepared = {}
        return ['COMPLETE -']

    def _status(self, verb: str) -> list[str]:
        server = self._server
        if verb == 'STEPDOWN':
            server.is_primary = False
        role = 'primary' if server.is_primary else 'replica'
        term, number = server.received
        return [
            f'ROW {role} {server.term} {term}.{number} 0 0 0 1',
            'COMPLETE -',
        ]

    def _begin(self, words: list[str]) -> list[str]:
        if len(words) == 1 and not self._server.is_primary:
            raise _StatementError('READONLY')
        self._state = 'T'
        return ['COMPLETE -']

    async def _run(
        self,
        statement_id: str,
        text: str,
        words: list[str],
    ) -> list[str]:
        await asyncio.sleep(self._server.faults.work)
        verb = words[0]
        if verb == 'EXECUTE':
            if words[1] not in self._prepared:
                raise _StatementError('NOSTMT')
            verb = self._prepared[words[1]]
            words = words[1:]
        if verb in {'WRITE', 'COMMIT'} and not self._server.is_primary:
            raise _StatementError('READONLY')
        rows = self._apply(verb, words)
        self._server.group.runs.append(
            Run(
                server=self._server.name,
                workspace=self._workspace,
                statement_id=statement_id,
                text=text,
                values=tuple(sorted(self._values.items())),
                position=self._server.position,
                at=asyncio.get_running_loop().time(),
            ),
        )
        return [*rows, f'COMPLETE mac.{self._server.name}.{next(_numbers)}']

    def _apply(self, verb: str, words: list[str]) -> list[str]:
        if verb == 'READ':
            return [f'ROW {self._read(words[1])}']
        if verb == 'WRITE':
            self._writes.append((words[1], words[2]))
        if verb == 'COMMIT' or self._state == 'I':
            if self._writes:
                self._server.group.commit(self._server, self._writes)
            self._writes = []
            self._state = 'I'
        return []

    def _read(self, item: str) -> str:
        position = self._server.position
        applied = [
            entry for entry in self._server.log if entry.position <= position
        ]
        return _last_content(applied, item)


def _last_content(applied: list[Entry], item: str) -> str:
    contents = 'none'
    for entry in applied:
        contents = dict(entry.writes).get(item, contents)
    return contents
