"""Fakes of the platform's interfaces, for tests without processes."""

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
    """A store in memory; `is_down` makes every call fail."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tables.Row] = {}
        self.is_down = False
        self.loses_answers = False
        self._versions = itertools.count(1)

    async def read(self, table: str, prefix: str = '') -> tables.Snapshot:
        """Return the rows of a prefix."""
        self._check()
        rows = tuple(
            row
            for (name, key), row in self.rows.items()
            if name == table and key.startswith(prefix)
        )
        return tables.Snapshot(rows=rows, version=next(self._versions))

    async def read_row(self, table: str, key: str) -> tables.Row:
        """Return one row."""
        self._check()
        absent = tables.Row(key=key, content=b'', version=tables.ABSENT_VERSION)
        return self.rows.get((table, key), absent)

    async def changes(
        self,
        table: str,
        after: int,
        *,
        longest_wait: float = tables.LONGEST_WAIT_SECONDS,
    ) -> tables.Snapshot:
        """Tell that the history is gone, so that readers start anew."""
        self._check()
        raise tables.HistoryGoneError(f'{table} after {after}')

    async def compare_and_swap(
        self,
        table: str,
        key: str,
        *,
        expected: int,
        content: bytes | None,
    ) -> int:
        """Replace a row."""
        stored = await self.read_row(table, key)
        if stored.version != expected:
            raise errors.ConflictError(key)
        version = next(self._versions)
        self.rows[table, key] = tables.Row(
            key=key,
            content=content or b'',
            version=version,
        )
        if self.loses_answers:
            raise errors.PlatformError('the answer is lost')
        return version

    def _check(self) -> None:
        if self.is_down:
            raise errors.PlatformError('the store is down')


class FakeConnection:
    """A connection that answers as its server's script says."""

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
        """Run a statement."""
        self._server.ran.append((statement_id, command.text, floor))
        if self._server.breaks_on == command.text:
            self.is_usable = False
            raise connection.ConnectionBrokenError('reset by the server')
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
        """Forget values."""
        self._server.ran.append((b'-', b'RESET', None))
        return answers.Answer()

    async def set_value(self, name: bytes, content: bytes) -> answers.Answer:
        """Set a value."""
        self._server.ran.append((b'-', b'SET %s %s' % (name, content), None))
        return answers.Answer()

    async def prepare(self, prepared: commands.Prepared) -> answers.Answer:
        """Prepare a shape."""
        self._server.ran.append((b'-', b'PREPARE %s' % prepared.shape, None))
        return answers.Answer()

    async def status(self) -> connection.ServerStatus:
        """Return the server's status."""
        return connection.ServerStatus(
            role=self._server.role,
            term=identifiers.Term(self._server.term),
            received=self._server.position,
        )

    def close(self) -> None:
        """Close."""
        self.is_closed = True
        self.is_usable = False


@dataclasses.dataclass(slots=True, kw_only=True)
class FakeServer:
    """How a faked server behaves, and what it was given."""

    name: str
    role: connection.Role = connection.Role.REPLICA
    term: int = 1
    position: identifiers.LogPosition = identifiers.LogPosition(1, 5)
    refuses_with: answers.Code | None = None
    connection_limit: int | None = None
    dead_connections: int = 0
    is_down: bool = False
    breaks_on: bytes = b''
    states: dict[bytes, answers.TransactionState] = dataclasses.field(
        default_factory=dict,
    )
    ran: list[tuple[bytes, bytes, identifiers.LogPosition | None]] = (
        dataclasses.field(default_factory=list)
    )
    opened: list[FakeConnection] = dataclasses.field(default_factory=list)

    @property
    def is_full(self) -> bool:
        """Tell whether no more connections are taken, dead ones included."""
        if self.connection_limit is None:
            return False
        alive = sum(not each.is_closed for each in self.opened)
        return alive + self.dead_connections >= self.connection_limit

    def backend(self) -> connection.BackendServer:
        """Return the server as it would be registered."""
        return connection.BackendServer(
            server=connection.ServerId(self.name),
            service=SERVICE,
            address=node.Address(host='127.0.0.1', port=1),
            zone=identifiers.ZoneName('north'),
            slots=2,
            role=self.role,
        )


class FakeOpener:
    """Opens connections to faked servers."""

    def __init__(self, *servers: FakeServer) -> None:
        self.servers = {server.name: server for server in servers}

    async def open(
        self,
        server: connection.BackendServer,
        workspace: identifiers.WorkspaceName,
    ) -> connection.ServerConnection:
        """Open a connection, or fail as the server's script says."""
        faked = self.servers[server.server]
        if faked.is_down:
            raise connection.ConnectionBrokenError('connection refused')
        if faked.refuses_with is not None:
            raise connection.RefusedConnectionError(
                code=faked.refuses_with,
                message=faked.refuses_with.value,
            )
        if faked.is_full:
            raise connection.RefusedConnectionError(
                code=answers.Code.TOO_MANY_CONNECTIONS,
                message='full',
            )
        opened = FakeConnection(server=faked)
        faked.opened.append(opened)
        return opened


class NoOthers:
    """The other hosts of a fleet of one."""

    async def confirm(
        self,
        _asked: typing.Sequence[claims.Claim],
    ) -> list[typing.Sequence[claims.Claim]]:
        """Return no answers."""
        return []

    def majority(self) -> int:
        """Return that nobody else is needed."""
        return 0

    async def reaches(self, _host: identifiers.HostName) -> bool:
        """Tell that every host answers."""
        return True

    async def is_lost(self, _host: identifiers.HostName) -> bool:
        """Tell that no host is lost."""
        return False


def host(name: str, *, boot: int = 1, zone: str = 'north') -> directory.Host:
    """Make a host of the fleet."""
    return directory.Host(
        host=identifiers.HostName(name),
        zone=identifiers.ZoneName(zone),
        address=node.Address(host='127.0.0.1', port=1),
        boot=boot,
        processor=1,
    )
