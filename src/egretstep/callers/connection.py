"""One caller's connection over the MySQL protocol."""

import asyncio
import contextlib
import struct
import typing

from mysql_mimic import connection as mimic_connection
from mysql_mimic import errors as mimic_errors
from mysql_mimic import packets, prepared, types
from mysql_mimic import stream as mimic_stream

from egretstep import errors, identifiers
from egretstep.callers import prepared as own_prepared
from egretstep.callers import results, session
from egretstep.observability import metrics
from egretstep.peers import messages

HANDSHAKE_SECONDS = 10.0
MOST_PREPARED = 1000
_ERROR_MARK = 0xFF
_STATE_BYTES = 5
_ERROR_HEADER = struct.Struct('<BH')
_MESSAGE_LIMIT = 480


class CallerConnection(mimic_connection.Connection):
    """One caller's connection.

    It relays row counts, insert ids, status flags, error codes and SQLSTATEs
    as the database server gave them.
    """

    def __init__(self, **arguments: typing.Any) -> None:
        super().__init__(**arguments)
        self._pieces: dict[int, list[str]] = {}
        self._ending: errors.Refusal | None = None
        self._is_running = False
        self._update_status()

    @property
    def caller(self) -> session.CallerSession:
        """Return the session of the caller."""
        return typing.cast(session.CallerSession, self.session)

    @property
    def is_idle(self) -> bool:
        """Tell whether no statement runs and no transaction is open."""
        return not self._is_running and not self.caller.is_pinned

    async def connection_phase(self) -> None:
        """Shake hands; a caller without a valid key gets no further."""
        async with asyncio.timeout(HANDSHAKE_SECONDS):
            await super().connection_phase()
        if self.caller.username is None:
            raise mimic_stream.ConnectionClosed

    async def handle_change_user(self, data: bytes) -> None:
        """Answer COM_CHANGE_USER; a wrong key ends the connection."""
        await self.caller.roll_back_transaction()
        self.caller.username = None
        await super().handle_change_user(data)
        if self.caller.username is None:
            raise mimic_stream.ConnectionClosed

    async def handle_reset_connection(self, data: bytes) -> None:
        """Answer COM_RESET_CONNECTION."""
        await self.caller.reset()
        self._pieces.clear()
        self.prepared_stmts.clear()
        self._update_status()
        await self.stream.write(self.ok())

    async def handle_init_db(self, data: bytes) -> None:
        """Answer COM_INIT_DB."""
        await self.caller.use(self.client_charset.decode(data))
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
            await self._write_counts(answer)

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Answer COM_STMT_PREPARE."""
        if len(self.prepared_stmts) >= MOST_PREPARED:
            raise mimic_errors.MysqlError(
                f'{MOST_PREPARED} statements are prepared; close some',
                mimic_errors.ErrorCode.UNKNOWN_ERROR,
            )
        sql = self.client_charset.decode(data)
        pieces = own_prepared.split_at_placeholders(sql)
        statement = prepared.PreparedStatement(
            stmt_id=next(self.prepared_stmt_seq),
            sql='',
            num_params=len(pieces) - 1,
        )
        self.prepared_stmts[statement.stmt_id] = statement
        self._pieces[statement.stmt_id] = pieces
        reply = list(self.com_stmt_prepare_response(statement))
        if statement.num_params and self.deprecate_eof():
            # The library ends the parameters with a packet that clients of
            # this capability do not expect.
            reply.pop()
        for packet in reply:
            await self.stream.write(packet, drain=False)
        await self.stream.drain()

    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        """Take a part of a parameter in, up to a limit."""
        await super().handle_stmt_send_long_data(data)
        statement = self.get_stmt(int.from_bytes(data[:4], 'little'))
        held = sum(map(len, (statement.param_buffers or {}).values()))
        if held > own_prepared.LARGEST_PARAMETERS:
            raise mimic_stream.ConnectionClosed

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Answer COM_STMT_EXECUTE."""
        statement = self.get_stmt(int.from_bytes(data[:4], 'little'))
        bound = own_prepared.read_parameters(
            data=data,
            statement=statement,
            capabilities=self.capabilities,
        )
        statement.param_buffers = None
        pieces = self._pieces[statement.stmt_id]
        answer = await self._run(own_prepared.bind(pieces, bound))
        if answer is None:
            return
        if answer.columns:
            await self._write_binary(answer)
        else:
            await self._write_counts(answer)

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Answer COM_STMT_RESET, which keeps the rest of the session."""
        statement = self.get_stmt(int.from_bytes(data[:4], 'little'))
        statement.param_buffers = None
        await self.stream.write(self.ok())

    async def handle_stmt_close(self, data: bytes) -> None:
        """Forget a prepared statement."""
        await super().handle_stmt_close(data)
        self._pieces.pop(int.from_bytes(data[:4], 'little'), None)

    async def end(self, refusal: errors.Refusal) -> None:
        """End the connection now and tell the caller why.

        A running statement is given up; its transaction is rolled back.
        """
        self._ending = refusal
        if self._is_running and self._task:
            self._task.cancel()
            return
        await self.caller.roll_back_transaction()
        with contextlib.suppress(ConnectionError, OSError):
            self.stream.reset_seq()
            await self.stream.write(self._refusal_packet(refusal))
        self.stream.writer.close()

    async def _run(self, sql: bytes) -> messages.Answer | None:
        """Return the answer, or none when an error was written instead."""
        if self._ending:
            # The caller sent this before it read why its connection ends.
            await self.stream.write(self._refusal_packet(self._ending))
            raise mimic_stream.ConnectionClosed
        self._is_running = True
        try:
            answer = await self.caller.execute(sql)
        except errors.RefusedError as error:
            self._update_status()
            self._count(error.refusal.outcome)
            await self.stream.write(self._refusal_packet(error.refusal))
            return None
        except asyncio.CancelledError:
            if self._ending is None:
                raise
            await self._finish_ending(self._ending)
            raise mimic_stream.ConnectionClosed from None
        finally:
            self._is_running = False
        self._update_status()
        self._count(answer.outcome)
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

    async def _finish_ending(self, refusal: errors.Refusal) -> None:
        if self._task:
            self._task.uncancel()
        told = self.caller.refusal_after_interruption(refusal)
        await self.caller.roll_back_transaction()
        await self.stream.write(self._refusal_packet(told))

    async def _write_counts(self, answer: messages.Answer) -> None:
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
        if self.caller.is_autocommit:
            status |= types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.caller.in_transaction:
            status |= types.ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = status

    def _refusal_packet(self, refusal: errors.Refusal) -> bytes:
        return self._error_packet(
            refusal.kind.code,
            refusal.kind.sql_state,
            refusal.text(),
        )

    def _error_packet(self, code: int, sql_state: str, message: str) -> bytes:
        header = _ERROR_HEADER.pack(_ERROR_MARK, code)
        state = sql_state.encode().ljust(_STATE_BYTES, b'0')[:_STATE_BYTES]
        text = message.encode()[:_MESSAGE_LIMIT]
        return b''.join((header, b'#', state, text))

    def _count(self, outcome: identifiers.Outcome) -> None:
        identity = self.caller.identity
        workspace = identity.workspace if identity else ''
        metrics.statements.inc(workspace, outcome.value)
