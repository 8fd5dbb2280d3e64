"""MySQL server parts that both stand-ins and tests build on."""

import asyncio
import inspect
import typing

from mysql_mimic import (
    connection,
    errors,
    packets,
    results,
    server,
    session,
    types,
    variables,
)
from mysql_mimic import stream as mimic_stream

from standins import storage

SQLSTATES = {1062: b'23000', 1146: b'42S02', 1290: b'HY000', 1040: b'08004'}
_SQLSTATE_START = 4
_SQLSTATE_END = 9


class Reply(typing.NamedTuple):
    """What a stand-in session answers to one statement."""

    columns: list[results.ResultColumn]
    rows: list[tuple[typing.Any, ...]]
    affected_rows: int = 0
    insert_id: int = 0
    information: str = ''


class ReplyingSession(session.BaseSession):
    """A session whose statements are answered with `Reply`."""

    def __init__(self) -> None:
        self.variables = variables.SessionVariables(
            variables.GlobalVariables(),
        )
        self.username: str | None = None
        self.database: str | None = None

    @property
    def in_transaction(self) -> bool:
        """Tell whether a transaction is open on this connection."""
        return False

    async def answer(self, sql: str) -> Reply:
        """Run one statement."""
        raise NotImplementedError

    async def use(self, database: str) -> None:
        """Accept any default database."""
        self.database = database


class ReplyingConnection(connection.Connection):
    """Sends affected rows, insert id, information and status flags."""

    async def handle_query(self, data: bytes) -> None:
        """Answer COM_QUERY."""
        query = packets.parse_com_query(
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
        )
        replying = typing.cast(ReplyingSession, self.session)
        try:
            reply = await replying.answer(query.sql)
        except errors.MysqlError as error:
            await self.stream.write(self._error_packet(error))
            return
        self._update_status(replying)
        if reply.columns:
            await self.write_text_resultset(
                results.ResultSet(rows=reply.rows, columns=reply.columns),
            )
            return
        packet = self.ok(
            affected_rows=reply.affected_rows,
            last_insert_id=reply.insert_id,
        )
        await self.stream.write(packet + reply.information.encode())

    async def handle_reset_connection(self, data: bytes) -> None:
        """Answer COM_RESET_CONNECTION."""
        await self.session.reset()
        self._update_status(typing.cast(ReplyingSession, self.session))
        await self.stream.write(self.ok())

    def _update_status(self, replying: ReplyingSession) -> None:
        status = types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if replying.in_transaction:
            status |= types.ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = status

    def _error_packet(self, error: errors.MysqlError) -> bytes:
        packet = self.error(msg=error.msg, code=error.code)
        state = SQLSTATES.get(error.code, packet[_SQLSTATE_START:_SQLSTATE_END])
        return packet[:_SQLSTATE_START] + state + packet[_SQLSTATE_END:]


class ReplyingServer(server.MysqlServer):
    """A MySQL server whose connections are `ReplyingConnection`s."""

    connection_class: type[connection.Connection] = ReplyingConnection

    async def admit(self) -> errors.MysqlError | None:
        """Return why a new connection is refused, if it is."""

    async def _client_connected_cb(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        stream = mimic_stream.MysqlStream(reader, writer)
        made = self.session_factory()
        replying = await made if inspect.isawaitable(made) else made
        served = self.connection_class(
            stream=stream,
            session=replying,
            control=self.control,
            identity_provider=self.identity_provider,
            server_capabilities=self.capabilities,
            ssl=self.ssl,
        )
        refusal = await self.admit()
        if refusal:
            await stream.write(served.error(msg=refusal.msg, code=refusal.code))
            writer.close()
            return
        served.connection_id = await self.control.add(served)
        try:
            await served.start()
        except (ConnectionError, mimic_stream.ConnectionClosed, OSError):
            return
        finally:
            writer.close()
            await self.control.remove(served.connection_id)


def text_reply(name: str, text: str) -> Reply:
    """Make an answer of one row with one text."""
    column = results.ResultColumn(name, types.ColumnType.VARCHAR)
    return Reply(columns=[column], rows=[(text,)])


def rows_reply(done: storage.StatementResult) -> Reply:
    """Make the answer to a statement that the storage has run."""
    return Reply(
        columns=done.columns,
        rows=done.rows,
        affected_rows=done.affected_rows,
        insert_id=done.insert_id,
    )
