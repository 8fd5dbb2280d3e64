"""Connections to the platform's database servers over the line protocol."""

import asyncio

import xxhash

from egretstep import identifiers, sockets
from egretstep.backends import answers, commands, connection
from egretstep.platform import wire

CONNECT_TIMEOUT_SECONDS = 1.0
INTERNAL_STATEMENT_ID = b'-'
MAX_QUOTED_BYTES = 80
_STATUS_FIELD_COUNT = 3
# An address that can't be one raises `OverflowError` or `UnicodeError`.
_OPEN_ERRORS = (
    OSError,
    TimeoutError,
    OverflowError,
    UnicodeError,
    wire.MalformedError,
)
_ROLES = {role.value.encode(): role for role in connection.Role}


def _prepared_name(prepared: commands.Prepared) -> bytes:
    """Return the name of a prepared shape, equal for all callers."""
    kind = b'w' if prepared.is_write else b'r'
    return kind + xxhash.xxh3_64_hexdigest(prepared.shape).encode()


class PlatformConnection:
    """A connection to one server on behalf of one workspace.

    All requests raise `connection.ConnectionBrokenError` when the answer is
    malformed or incomplete; the connection is then closed.
    """

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._is_closed = False

    @property
    def is_usable(self) -> bool:
        """Tell whether another statement can be sent."""
        return not self._is_closed and not self._reader.at_eof()

    async def run(
        self,
        statement_id: bytes,
        command: commands.Command,
        floor: identifiers.LogPosition | None = None,
    ) -> answers.Answer:
        """Run a statement once the server has applied its log up to the floor."""
        text = command.text
        if command.prepared is not None:
            name = _prepared_name(command.prepared)
            text = b'EXECUTE %s %s' % (name, command.argument)
        if floor is not None:
            position = wire.format_position(floor)
            text = b'SYNCPOS %s %s' % (position, text)
        return await self._query(statement_id, text)

    async def reset(self) -> answers.Answer:
        """Drop the session values and prepared statements of the connection."""
        return await self._query(INTERNAL_STATEMENT_ID, b'RESET')

    async def set_value(self, name: bytes, content: bytes) -> answers.Answer:
        """Set a session value on the server."""
        return await self._query(
            INTERNAL_STATEMENT_ID, b'SET %s %s' % (name, content)
        )

    async def prepare(self, prepared: commands.Prepared) -> answers.Answer:
        """Prepare a shape so that EXECUTE can refer to it."""
        kind = b'WRITE' if prepared.is_write else b'READ'
        name = _prepared_name(prepared)
        text = b'PREPARE %s %s %s' % (name, kind, prepared.shape)
        return await self._query(INTERNAL_STATEMENT_ID, text)

    async def status(self) -> connection.ServerStatus:
        """Return the server's role, term and log position."""
        return self._parse_status(
            await self._query(INTERNAL_STATEMENT_ID, b'STATUS')
        )

    def close(self) -> None:
        """Close at once, so that the server rolls back an open transaction."""
        self._is_closed = True
        self._writer.close()

    async def _query(self, statement_id: bytes, text: bytes) -> answers.Answer:
        try:
            self._writer.write(b'QUERY %s %s\r\n' % (statement_id, text))
            return await self._read_answer()
        except (OSError, wire.MalformedError) as error:
            self.close()
            raise connection.ConnectionBrokenError(str(error)) from error
        except asyncio.CancelledError:
            # A late answer must not be taken for that of the next statement,
            # and a statement that is held up must not run later.
            self._is_closed = True
            sockets.reset(self._writer)
            raise

    async def _read_answer(self) -> answers.Answer:
        answer_reader = wire.AnswerReader()
        while True:
            line = await wire.read_line(self._reader)
            if line is None:
                raise wire.MalformedError('the server closed the connection')
            answer = answer_reader.add(line)
            if answer is not None:
                return answer

    def _parse_status(self, answer: answers.Answer) -> connection.ServerStatus:
        if answer.code is answers.Code.OVERLOADED:
            raise connection.RefusedConnectionError(
                code=answer.code,
                message=f'it is too busy to report it: {answer.message}',
            )
        if not answer.is_ok or not answer.rows:
            raise connection.ConnectionBrokenError(
                f'no row in the answer to STATUS: '
                f'{answer.code.value} {answer.message}',
            )
        fields = answer.rows[0].split(b' ')
        received = (
            wire.parse_position(fields[2])
            if len(fields) >= _STATUS_FIELD_COUNT
            else None
        )
        role = _ROLES.get(fields[0])
        term = wire.parse_number(fields[1]) if received else None
        if role is None or received is None or term is None:
            raise connection.ConnectionBrokenError(
                'malformed answer to STATUS: '
                f'{answer.rows[0][:MAX_QUOTED_BYTES]!r}'
            )
        return connection.ServerStatus(
            role=role,
            term=identifiers.Term(term),
            received=received,
        )


class PlatformOpener:
    """Opens connections to the platform's database servers."""

    async def open(
        self,
        server: connection.BackendServer,
        workspace: identifiers.WorkspaceName,
    ) -> connection.ServerConnection:
        """Open a connection on behalf of a workspace.

        Raises `connection.RefusedConnectionError` or
        `connection.ConnectionBrokenError`.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                return await self._open(server, workspace)
        except _OPEN_ERRORS as error:
            raise connection.ConnectionBrokenError(
                f'can not connect to {server.server} at {server.address}: '
                f'{error!r}',
            ) from error

    async def _open(
        self,
        server: connection.BackendServer,
        workspace: identifiers.WorkspaceName,
    ) -> connection.ServerConnection:
        reader, writer = await asyncio.open_connection(
            server.address.host,
            server.address.port,
            limit=wire.MAX_MESSAGE_BYTES,
        )
        try:
            sockets.detect_dead_peer(writer.get_extra_info('socket'))
            start_message = (
                f'START {server.service} {workspace} {server.server}\r\n'
            )
            writer.write(start_message.encode())
            await _await_ready(reader)
        except BaseException:
            writer.close()
            raise
        return PlatformConnection(reader=reader, writer=writer)


async def _await_ready(reader: asyncio.StreamReader) -> None:
    line = await wire.read_line(reader)
    if line is None:
        raise wire.MalformedError(
            'the server closed the connection before READY'
        )
    word, _, rest = line.partition(b' ')
    if word == b'ERROR':
        code, message = wire.parse_error(rest)
        raise connection.RefusedConnectionError(code=code, message=message)
    if word != b'READY':
        raise wire.MalformedError(f'expected READY or ERROR, got {word!r}')
