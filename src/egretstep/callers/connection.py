"""Connection of one caller over the MySQL protocol."""

import asyncio
import contextlib
import struct
import typing

from mysql_mimic import connection as mimic_connection
from mysql_mimic import errors as mimic_errors
from mysql_mimic import packets, prepared, types
from mysql_mimic import stream as mimic_stream

from egretstep import errors, identifiers
from egretstep.callers import parameter_binding, results, session
from egretstep.observability import metrics
from egretstep.peers import messages

HANDSHAKE_TIMEOUT_SECONDS = 10.0
MAX_PREPARED_STATEMENTS = 1000
_ERROR_PACKET_MARKER = 0xFF
_SQL_STATE_BYTES = 5
_ERROR_HEADER = struct.Struct('<BH')
_MAX_MESSAGE_BYTES = 480


class CallerConnection(mimic_connection.Connection):
    """Handles the commands of one caller's connection.

    Row counts, insert ids, status flags, error codes and SQLSTATEs are passed
    on as the database server gave them.
    """

    def __init__(self, **arguments: typing.Any) -> None:
        super().__init__(**arguments)
        self._statement_pieces: dict[int, list[str]] = {}
        self._end_refusal: errors.Refusal | None = None
        self._is_running = False
        self._update_status()

    @property
    def caller_session(self) -> session.CallerSession:
        """Return the session of the caller."""
        return typing.cast(session.CallerSession, self.session)

    @property
    def is_idle(self) -> bool:
        """Tell whether no statement runs and the session is not pinned."""
        return not self._is_running and not self.caller_session.is_pinned

    async def connection_phase(self) -> None:
        """Authenticate the caller.

        Raises `ConnectionClosed` when the caller's key is not accepted, and
        `TimeoutError` when the handshake takes too long.
        """
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            await super().connection_phase()
        if self.caller_session.username is None:
            raise mimic_stream.ConnectionClosed

    async def handle_change_user(self, data: bytes) -> None:
        """Answer COM_CHANGE_USER.

        Raises `ConnectionClosed` when the caller's new key is not accepted.
        """
        await self.caller_session.roll_back_transaction()
        self.caller_session.username = None
        await super().handle_change_user(data)
        if self.caller_session.username is None:
            raise mimic_stream.ConnectionClosed

    async def handle_reset_connection(self, data: bytes) -> None:
        """Answer COM_RESET_CONNECTION."""
        await self.caller_session.reset()
        self._statement_pieces.clear()
        self.prepared_stmts.clear()
        self._update_status()
        await self.stream.write(self.ok())

    async def handle_init_db(self, data: bytes) -> None:
        """Answer COM_INIT_DB."""
        await self.caller_session.use(self.client_charset.decode(data))
        await self.stream.write(self.ok())

    async def handle_query(self, data: bytes) -> None:
        """Answer COM_QUERY."""
        query = packets.parse_com_query(
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
        )
        answer = await self._run(query.sql.encode(errors='surrogateescape'))
        if answer is None:
            return
        if answer.columns:
            await self.write_text_resultset(results.text_result(answer))
        else:
            await self._write_ok(answer)

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Answer COM_STMT_PREPARE.

        Raises `MysqlError` when the connection has too many prepared
        statements.
        """
        if len(self.prepared_stmts) >= MAX_PREPARED_STATEMENTS:
            raise mimic_errors.MysqlError(
                f'{MAX_PREPARED_STATEMENTS} statements are prepared; close some',
                mimic_errors.ErrorCode.UNKNOWN_ERROR,
            )
        sql = self.client_charset.decode(data)
        pieces = parameter_binding.split_at_placeholders(sql)
        statement = prepared.PreparedStatement(
            stmt_id=next(self.prepared_stmt_seq),
            sql='',
            num_params=len(pieces) - 1,
        )
        self.prepared_stmts[statement.stmt_id] = statement
        self._statement_pieces[statement.stmt_id] = pieces
        reply = list(self.com_stmt_prepare_response(statement))
        if statement.num_params and self.deprecate_eof():
            # The library ends the parameter definitions with an EOF packet,
            # which clients with CLIENT_DEPRECATE_EOF do not expect.
            reply.pop()
        for packet in reply:
            await self.stream.write(packet, drain=False)
        await self.stream.drain()

    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        """Add a part to a parameter.

        The command has no answer, so that a statement whose parameters are
        too long ends the connection with `ConnectionClosed`.
        """
        await super().handle_stmt_send_long_data(data)
        statement = self.get_stmt(int.from_bytes(data[:4], 'little'))
        buffered_bytes = sum(map(len, (statement.param_buffers or {}).values()))
        if buffered_bytes > parameter_binding.MAX_PARAMETER_BYTES:
            raise mimic_stream.ConnectionClosed

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Answer COM_STMT_EXECUTE."""
        statement = self.get_stmt(int.from_bytes(data[:4], 'little'))
        parameter_values = parameter_binding.read_parameters(
            data=data,
            statement=statement,
            capabilities=self.capabilities,
        )
        statement.param_buffers = None
        pieces = self._statement_pieces[statement.stmt_id]
        answer = await self._run(
            parameter_binding.bind(pieces, parameter_values)
        )
        if answer is None:
            return
        if answer.columns:
            await self._write_binary(answer)
        else:
            await self._write_ok(answer)

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Answer COM_STMT_RESET.

        It clears the long parameters of one statement and keeps the rest of
        the session.
        """
        statement = self.get_stmt(int.from_bytes(data[:4], 'little'))
        statement.param_buffers = None
        await self.stream.write(self.ok())

    async def handle_stmt_close(self, data: bytes) -> None:
        """Remove a prepared statement; COM_STMT_CLOSE has no answer."""
        await super().handle_stmt_close(data)
        self._statement_pieces.pop(int.from_bytes(data[:4], 'little'), None)

    async def end(self, refusal: errors.Refusal) -> None:
        """Send a refusal and close the connection.

        A running statement is cancelled and its transaction is rolled back.
        """
        self._end_refusal = refusal
        if self._is_running and self._task:
            self._task.cancel()
            return
        await self.caller_session.roll_back_transaction()
        with contextlib.suppress(ConnectionError, OSError):
            self.stream.reset_seq()
            await self.stream.write(self._refusal_packet(refusal))
        self.stream.writer.close()

    async def _run(self, sql: bytes) -> messages.Answer | None:
        """Run a statement and return its answer.

        Returns None when an error packet was written instead.
        """
        if self._end_refusal:
            # The caller sent this before it read that its connection ends.
            await self.stream.write(self._refusal_packet(self._end_refusal))
            raise mimic_stream.ConnectionClosed
        self._is_running = True
        try:
            answer = await self.caller_session.execute(sql)
        except errors.RefusedError as error:
            self._update_status()
            self._count_outcome(error.refusal.outcome)
            await self.stream.write(self._refusal_packet(error.refusal))
            return None
        except asyncio.CancelledError:
            if self._end_refusal is None:
                raise
            await self._send_end_refusal(self._end_refusal)
            raise mimic_stream.ConnectionClosed from None
        finally:
            self._is_running = False
        self._update_status()
        self._count_outcome(answer.outcome)
        if answer.outcome is identifiers.Outcome.DONE:
            return answer
        await self.stream.write(
            self._error_packet(
                answer.error_code,
                answer.sql_state,
                answer.message,
            ),
        )
        return None

    async def _send_end_refusal(self, refusal: errors.Refusal) -> None:
        if self._task:
            self._task.uncancel()
        final_refusal = self.caller_session.refusal_after_start(refusal)
        await self.caller_session.roll_back_transaction()
        await self.stream.write(self._refusal_packet(final_refusal))

    async def _write_ok(self, answer: messages.Answer) -> None:
        await self.stream.write(
            self.ok(
                affected_rows=answer.affected_rows,
                last_insert_id=answer.insert_id,
            ),
        )

    async def _write_binary(self, answer: messages.Answer) -> None:
        result_set = results.binary_result(answer)
        await self.stream.write(
            types.uint_len(len(result_set.columns)),
            drain=False,
        )
        for column in result_set.columns:
            await self.stream.write(
                packets.make_column_definition_41(
                    server_charset=self.server_charset,
                    name=column.name,
                    column_type=column.type,
                    character_set=column.character_set,
                ),
                drain=False,
            )
        if not self.deprecate_eof():
            await self.stream.write(self.eof(), drain=False)
        for row in typing.cast(list[typing.Any], result_set.rows):
            await self.stream.write(
                packets.make_binary_resultrow(row, result_set.columns),
                drain=False,
            )
        await self.stream.write(self.ok_or_eof())

    def _update_status(self) -> None:
        status = types.ServerStatus(0)
        if self.caller_session.is_autocommit:
            status |= types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.caller_session.in_transaction:
            status |= types.ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = status

    def _refusal_packet(self, refusal: errors.Refusal) -> bytes:
        return self._error_packet(
            refusal.kind.code,
            refusal.kind.sql_state,
            refusal.text(),
        )

    def _error_packet(self, code: int, sql_state: str, message: str) -> bytes:
        header = _ERROR_HEADER.pack(_ERROR_PACKET_MARKER, code)
        state = sql_state.encode().ljust(_SQL_STATE_BYTES, b'0')[
            :_SQL_STATE_BYTES
        ]
        text = message.encode()[:_MAX_MESSAGE_BYTES]
        return b''.join((header, b'#', state, text))

    def _count_outcome(self, outcome: identifiers.Outcome) -> None:
        identity = self.caller_session.identity
        workspace = identity.workspace if identity else ''
        metrics.statements.inc(workspace, outcome.value)
