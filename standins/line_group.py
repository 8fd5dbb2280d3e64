"""A group of stand-ins for the platform's servers: logs, roles, faults.

All servers of a group live in one process. It keeps what callers and tests
need to check promises: every statement that ran, under which workspace, on
which log, and with which session values.
"""

import asyncio
import collections
import dataclasses
import typing

PROMOTION_SECONDS = 0.2

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
            await self.group.serve(self, reader, writer)
        except OSError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()


Serve = typing.Callable[
    [Server, asyncio.StreamReader, asyncio.StreamWriter],
    typing.Awaitable[None],
]


class Group:
    """A service with one primary and its replicas."""

    def __init__(
        self,
        *,
        service: str,
        zones: typing.Sequence[str],
        serve: Serve,
        slots: int = 3,
    ) -> None:
        self.serve = serve
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
