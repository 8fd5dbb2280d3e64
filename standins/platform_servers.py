"""Stand-in for a service of the platform: servers with logs and roles.

All servers of a service run in the process of the test. They record each
statement that they execute with its workspace, log position and session
values, so that a test can check them.
"""

import asyncio
import collections
import dataclasses
import typing

PROMOTION_DELAY_SECONDS = 0.2
RECEIVE_POLL_SECONDS = 0.005
MAX_MESSAGE_BYTES = 2 * 1024 * 1024

# Term and index of a log entry; (1, 0) is the position before the first entry.
Position = tuple[int, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExecutedStatement:
    """A statement that a server executed, as evidence for tests.

    `position` is the position that the server had applied by then, and
    `executed_at` the time of the event loop in seconds.
    """

    server: str
    workspace: str
    statement_id: str
    text: str
    values: tuple[tuple[str, str], ...]
    position: Position
    executed_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """A committed transaction in the log.

    `writes` holds pairs of an item and its value, and `committed_at` is the
    time of the event loop in seconds.
    """

    position: Position
    writes: tuple[tuple[str, str], ...]
    committed_at: float
    statement_id: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Takeover:
    """A promotion that took effect, and the log with which the server leads.

    `at` is the time of the event loop in seconds.
    """

    server: str
    term: int
    log: tuple[Entry, ...]
    at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults and limits of one server that a test can set while it runs.

    `lag` is the replica lag and `work` the time that a statement takes, both
    in seconds. `is_silent` delays all answers until it is off. `is_down` is
    set by `Server.stop`. The next `lost_answers` statements with an id are
    executed but not answered. A replica that `is_deaf` receives no commits.
    A READ returns `row_count` rows of `row_bytes` bytes if that is set.
    """

    is_silent: bool = False
    is_down: bool = False
    is_deaf: bool = False
    lag: float = 0.02
    work: float = 0.002
    lost_answers: int = 0
    row_bytes: int = 0
    row_count: int = 1
    connection_limit: int = 22


class Server:
    """One server of a service.

    It registers under `advertised_port` if that is set, so that hosts reach
    the server through a proxy.
    """

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
        self.advertised_port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None
        self._start_count = 0
        self._registration_count = 0

    @property
    def applied_position(self) -> Position:
        """Return the last position that is applied after the replica lag."""
        now = asyncio.get_running_loop().time()
        lag = 0 if self.is_primary else self.faults.lag
        for entry in reversed(self.log):
            if entry.committed_at + lag <= now:
                return entry.position
        return (1, 0)

    @property
    def last_position(self) -> Position:
        """Return the last position of the log, applied or not."""
        return self.log[-1].position if self.log else (1, 0)

    async def start(self) -> None:
        """Listen on loopback; a restart uses the same port."""
        self._listener = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            self.port,
            limit=MAX_MESSAGE_BYTES,
        )
        self.port = self._listener.sockets[0].getsockname()[1]
        self.faults.is_down = False
        self._start_count += 1
        self._registration_count = 0

    async def stop(self) -> None:
        """Stop listening and abort all sessions; the log stays."""
        self.faults.is_down = True
        if self._listener is not None:
            self._listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def registration(self) -> dict[str, typing.Any]:
        """Return the row with which the server registers in the store."""
        self._registration_count += 1
        return {
            'service': self.group.service,
            'address': f'127.0.0.1:{self.advertised_port or self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.group.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'db_role': 'primary' if self.is_primary else 'replica',
            'sequence': self._registration_count,
            'born': self._start_count,
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


SessionHandler = typing.Callable[
    [Server, asyncio.StreamReader, asyncio.StreamWriter],
    typing.Awaitable[None],
]


class Group:
    """A service: one primary and its replicas.

    The first server is the first primary. `on_change` is called after each
    promotion, which takes `promotion_delay` seconds. A former primary goes on
    for `former_primary_seconds` after that. A commit waits until
    `sync_replicas` replicas have received it. `commits` holds the commits of
    all servers, each with the server's name.
    """

    def __init__(
        self,
        *,
        service: str,
        zones: typing.Sequence[str],
        serve: SessionHandler,
        slots: int = 3,
        sync_replicas: int = 0,
    ) -> None:
        self.sync_replicas = sync_replicas
        self.promotion_delay = PROMOTION_DELAY_SECONDS
        self.former_primary_seconds = 0.0
        self.takeovers: list[Takeover] = []
        self.commits: list[tuple[str, Entry]] = []
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
        self.executed_statements: list[ExecutedStatement] = []
        self.session_counts: collections.Counter[str] = collections.Counter()
        self.on_change: typing.Callable[[], None] = lambda: None
        next(iter(self.servers.values())).is_primary = True

    @property
    def primary(self) -> Server:
        """Return the primary of the latest term; servers may disagree."""
        primaries = [each for each in self.servers.values() if each.is_primary]
        return max(primaries, key=lambda server: server.term)

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
        statement_id: str = '',
    ) -> Position:
        """Append a transaction to the logs and return its position.

        Replicas that are up receive it at once, with the entries that they
        have missed while they were down.
        """
        position = (primary.term, primary.last_position[1] + 1)
        now = asyncio.get_running_loop().time()
        entry = Entry(
            position=position,
            writes=tuple(writes),
            committed_at=now,
            statement_id=statement_id,
        )
        self.commits.append((primary.name, entry))
        primary.log.append(entry)
        for server in self.servers.values():
            if self._receives(server, primary):
                # The log of a replica is a part of the primary's from its start.
                server.log.extend(primary.log[len(server.log) :])
        return position

    async def wait_received(self, primary: Server, position: Position) -> None:
        """Wait until enough replicas have received a commit of a primary."""
        while self.sync_replicas:
            receivers = [
                server
                for server in self.servers.values()
                if server is not primary and server.last_position >= position
            ]
            if len(receivers) >= self.sync_replicas:
                return
            await asyncio.sleep(RECEIVE_POLL_SECONDS)

    def _receives(self, server: Server, primary: Server) -> bool:
        if server.faults.is_down or server.faults.is_deaf:
            return False
        return not server.is_primary and server.term == primary.term

    async def promote(self, name: str) -> bool:
        """Make a server primary of the next term after a delay.

        Returns False if the server is unknown or down. All servers then take
        over the log of the new primary.
        """
        candidate = self.servers.get(name)
        if candidate is None or candidate.faults.is_down:
            return False
        if candidate is self.primary:
            return True
        asyncio.ensure_future(self._complete_promotion(candidate))
        return True

    async def _complete_promotion(self, candidate: Server) -> None:
        await asyncio.sleep(self.promotion_delay)
        if candidate is self.primary:
            return
        former = self.primary
        candidate.term = max(each.term for each in self.servers.values()) + 1
        candidate.is_primary = True
        self.takeovers.append(
            Takeover(
                server=candidate.name,
                term=candidate.term,
                log=tuple(candidate.log),
                at=asyncio.get_running_loop().time(),
            ),
        )
        for server in self.servers.values():
            if server is not former:
                self._follow(server, candidate)
        await asyncio.sleep(self.former_primary_seconds)
        if self.primary is candidate:
            self._follow(former, candidate)
        self.on_change()

    def _follow(self, server: Server, primary: Server) -> None:
        server.is_primary = server is primary
        server.term = primary.term
        server.log = list(primary.log)
