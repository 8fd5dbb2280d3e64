"""In-memory fakes of the store, servers and hosts, for tests in one process."""

import asyncio
import dataclasses
import itertools
import typing

from egretstep import errors, identifiers
from egretstep.backends import answers, commands, connection
from egretstep.membership import claims, directory
from egretstep.settings import deployment, node
from egretstep.storage import tables

SERVICE = deployment.ServiceName('ledger')
DEPOT = identifiers.WorkspaceName('depot')
NURSES = identifiers.WorkspaceName('nurses')


class FakeTables:
    """A table service in memory.

    While `is_down` is set every call raises `PlatformError`. While
    `loses_answers` is set, writes take effect but raise `PlatformError`.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tables.Row] = {}
        self.is_down = False
        self.loses_answers = False
        self.era = 1
        self._numbers = itertools.count(1)

    async def read(self, table: str, prefix: str = '') -> tables.Snapshot:
        """Return the rows of a table whose keys start with `prefix`."""
        self._check_available()
        rows = tuple(
            row
            for (name, key), row in self.rows.items()
            if name == table and key.startswith(prefix)
        )
        return tables.Snapshot(rows=rows, version=self._next_version())

    async def read_row(self, table: str, key: str) -> tables.Row:
        """Return one row; it is empty and its version absent if it is."""
        self._check_available()
        absent = tables.Row(
            key=key, content=b'', version=tables.absent_version(self.era)
        )
        return self.rows.get((table, key), absent)

    async def changes(
        self,
        table: str,
        after: tables.Version,
        *,
        longest_wait: float = tables.LONGEST_WAIT_SECONDS,
    ) -> tables.Snapshot:
        """Raise `HistoryGoneError`: the fake keeps no history of changes.

        Callers must then read the table again.
        """
        self._check_available()
        raise tables.HistoryGoneError(f'{table} after {after}')

    async def compare_and_swap(
        self,
        table: str,
        key: str,
        *,
        expected: tables.Version,
        content: bytes | None,
    ) -> tables.Version:
        """Replace a row whose version is `expected`; return the new version.

        Raises `ConflictError` if the row has another version.
        """
        stored = await self.read_row(table, key)
        if stored.version != expected:
            raise errors.ConflictError(key)
        version = self._next_version()
        self.rows[table, key] = tables.Row(
            key=key,
            content=content or b'',
            version=version,
        )
        if self.loses_answers:
            raise errors.PlatformError('the answer is lost')
        return version

    def restore(self, rows: dict[tuple[str, str], tables.Row]) -> None:
        """Return to former rows, which begins a new era."""
        self.era += 1
        self.rows = {
            key: dataclasses.replace(
                row, version=row.version._replace(era=self.era)
            )
            for key, row in rows.items()
        }

    def _next_version(self) -> tables.Version:
        return tables.Version(era=self.era, number=next(self._numbers))

    def _check_available(self) -> None:
        if self.is_down:
            raise errors.PlatformError('the store is down')


class FakeConnection:
    """A connection to a `FakeServer`, whose fields determine the answers."""

    def __init__(self, *, server: 'FakeServer') -> None:
        self._server = server
        self.is_usable = True
        self.is_closed = False

    async def run(
        self,
        statement_id: bytes,
        command: commands.Command,
        floor: identifiers.LogPosition | None = None,
    ) -> answers.Answer:
        """Record a statement and return the server's answer.

        Raises `ConnectionBrokenError` if the server breaks on this text.
        """
        self._server.received.append((statement_id, command.text, floor))
        if self._server.breaks_connection_on == command.text:
            self.is_usable = False
            raise connection.ConnectionBrokenError('reset by the server')
        await asyncio.sleep(self._server.work_seconds)
        if self._server.refuses_statements_with is not None:
            return answers.Answer(
                code=self._server.refuses_statements_with, was_sent=True
            )
        state = self._server.states.get(
            command.text,
            answers.TransactionState.OUTSIDE,
        )
        return answers.Answer(
            proof=b'mac',
            state=state,
            position=self._server.position,
            was_sent=True,
        )

    async def reset(self) -> answers.Answer:
        """Record a reset of the session."""
        self._server.received.append((b'-', b'RESET', None))
        return answers.Answer()

    async def set_value(self, name: bytes, content: bytes) -> answers.Answer:
        """Record that a session value was set."""
        self._server.received.append((
            b'-',
            b'SET %s %s' % (name, content),
            None,
        ))
        return answers.Answer()

    async def prepare(self, prepared: commands.Prepared) -> answers.Answer:
        """Record that a statement was prepared."""
        self._server.received.append((
            b'-',
            b'PREPARE %s' % prepared.shape,
            None,
        ))
        return answers.Answer()

    async def status(self) -> connection.ServerStatus:
        """Return the server's role, term and position.

        Raises `ConnectionBrokenError` if the server reports no status.
        """
        if not self._server.reports_status:
            raise connection.ConnectionBrokenError('no status')
        return connection.ServerStatus(
            role=self._server.role,
            term=identifiers.Term(self._server.term),
            received=self._server.position,
        )

    def close(self) -> None:
        """Close the connection, which is then not usable."""
        self.is_closed = True
        self.is_usable = False


@dataclasses.dataclass(slots=True, kw_only=True)
class FakeServer:
    """A backend server: how it answers, and what it has received.

    `refuses_with` is the code with which it refuses connections, if any, and
    `refuses_statements_with` that with which it refuses statements.
    `dead_connections`, which count towards `connection_limit`, are lost
    connections that the server has not closed yet. A statement whose text is
    `breaks_connection_on` breaks its connection, any other one takes
    `work_seconds`, and `states` holds, by the
    text of a statement, the transaction state after it. `reports_status`
    tells whether it answers STATUS. `received` lists the
    ID, text and floor of each statement, `connections` all connections that
    were opened.
    """

    name: str
    role: connection.Role = connection.Role.REPLICA
    term: int = 1
    position: identifiers.LogPosition = identifiers.LogPosition(1, 5)
    refuses_with: answers.Code | None = None
    refuses_statements_with: answers.Code | None = None
    connection_limit: int | None = None
    dead_connections: int = 0
    started_ms: int = 0
    is_down: bool = False
    reports_status: bool = True
    breaks_connection_on: bytes = b''
    work_seconds: float = 0
    states: dict[bytes, answers.TransactionState] = dataclasses.field(
        default_factory=dict,
    )
    received: list[tuple[bytes, bytes, identifiers.LogPosition | None]] = (
        dataclasses.field(default_factory=list)
    )
    connections: list[FakeConnection] = dataclasses.field(default_factory=list)

    @property
    def is_full(self) -> bool:
        """Return whether the server has reached its connection limit."""
        if self.connection_limit is None:
            return False
        open_count = sum(not each.is_closed for each in self.connections)
        return open_count + self.dead_connections >= self.connection_limit

    def backend(self) -> connection.BackendServer:
        """Return the server as the platform would register it."""
        return connection.BackendServer(
            server=connection.ServerId(self.name),
            service=SERVICE,
            address=node.Address(host='127.0.0.1', port=1),
            zone=identifiers.ZoneName('north'),
            slots=2,
            role=self.role,
            started_ms=self.started_ms,
        )


class FakeOpener:
    """Opens connections to fake servers, which are looked up by name."""

    def __init__(self, *servers: FakeServer) -> None:
        self.servers = {server.name: server for server in servers}

    async def open(
        self,
        server: connection.BackendServer,
        workspace: identifiers.WorkspaceName,
    ) -> connection.ServerConnection:
        """Open a connection to a server.

        Raises `ConnectionBrokenError` if the server is down and
        `RefusedConnectionError` if it refuses connections or is full.
        """
        fake_server = self.servers[server.server]
        if fake_server.is_down:
            raise connection.ConnectionBrokenError('connection refused')
        if fake_server.refuses_with is not None:
            raise connection.RefusedConnectionError(
                code=fake_server.refuses_with,
                message=fake_server.refuses_with.value,
            )
        if fake_server.is_full:
            raise connection.RefusedConnectionError(
                code=answers.Code.TOO_MANY_CONNECTIONS,
                message='full',
            )
        opened = FakeConnection(server=fake_server)
        fake_server.connections.append(opened)
        return opened


def version(number: int, *, era: int = 1) -> tables.Version:
    """Return a version of the store."""
    return tables.Version(era=era, number=number)


class NoOtherHosts:
    """The links to other hosts, in a fleet that has only this host."""

    async def confirm(
        self, _sent: typing.Sequence[claims.Claim]
    ) -> claims.Confirmation:
        """Return a quorum without answers: this host is the only voter."""
        return claims.Confirmation(newer=(), has_quorum=True)

    async def reaches(self, _host: identifiers.HostName) -> bool:
        """Return True: every host is reachable."""
        return True

    async def is_lost(self, _host: identifiers.HostName) -> bool:
        """Return False: no host is lost."""
        return False


def host(name: str, *, boot: int = 1, zone: str = 'north') -> directory.Host:
    """Return a directory entry of a host at a loopback address."""
    return directory.Host(
        host=identifiers.HostName(name),
        zone=identifiers.ZoneName(zone),
        address=node.Address(host='127.0.0.1', port=1),
        boot=boot,
        processor=1,
    )
