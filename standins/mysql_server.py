"""Parts of a MySQL server, for the stand-in of a database server.

They add to mysql_mimic what it does not send: affected rows, insert ids, the
information of OK packets, transaction flags and further SQLSTATEs.
"""

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
    """The answer to one statement: rows, or the counters of an OK packet.

    It is sent as an OK packet if there are no columns.
    """

    columns: list[results.ResultColumn]
    rows: list[tuple[typing.Any, ...]]
    affected_rows: int = 0
    insert_id: int = 0
    information: str = ''


class ReplyingSession(session.BaseSession):
    """A session that answers each statement with a `Reply`."""

    def __init__(self) -> None:
        self.variables = variables.SessionVariables(
            variables.GlobalVariables(),
        )
        self.username: str | None = None
        self.database: str | None = None

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open on this connection."""
        return False

    async def answer(self, sql: str) -> Reply:
        """Run one statement; raises a MySQL error if it is refused."""
        raise NotImplementedError

    async def use(self, database: str) -> None:
        """Set the default database; every name is accepted."""
        self.database = database


class ReplyingConnection(connection.Connection):
    """A connection that sends the replies of a `ReplyingSession`."""

    async def handle_query(self, data: bytes) -> None:
        """Run the statement of a COM_QUERY packet and send its reply."""
        query = packets.parse_com_query(
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
        )
        replying_session = typing.cast(ReplyingSession, self.session)
        try:
            reply = await replying_session.answer(query.sql)
        except errors.MysqlError as error:
            await self.stream.write(self._error_packet(error))
            return
        self._update_status(replying_session)
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
        """Reset the session for a COM_RESET_CONNECTION packet."""
        await self.session.reset()
        self._update_status(typing.cast(ReplyingSession, self.session))
        await self.stream.write(self.ok())

    def _update_status(self, replying_session: ReplyingSession) -> None:
        status = types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if replying_session.in_transaction:
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
        """Return the error that refuses a new connection, None to accept."""

    async def _client_connected_cb(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        stream = mimic_stream.MysqlStream(reader, writer)
        created = self.session_factory()
        new_session = await created if inspect.isawaitable(created) else created
        client_connection = self.connection_class(
            stream=stream,
            session=new_session,
            control=self.control,
            identity_provider=self.identity_provider,
            server_capabilities=self.capabilities,
            ssl=self.ssl,
        )
        refusal = await self.admit()
        if refusal:
            await stream.write(
                client_connection.error(msg=refusal.msg, code=refusal.code)
            )
            writer.close()
            return
        client_connection.connection_id = await self.control.add(
            client_connection
        )
        try:
            await client_connection.start()
        except (ConnectionError, mimic_stream.ConnectionClosed, OSError):
            return
        finally:
            writer.close()
            await self.control.remove(client_connection.connection_id)


def text_reply(name: str, text: str) -> Reply:
    """Return a reply of one row with one text column."""
    column = results.ResultColumn(name, types.ColumnType.VARCHAR)
    return Reply(columns=[column], rows=[(text,)])


def result_reply(executed: storage.StatementResult) -> Reply:
    """Return the reply to a statement that the storage has run."""
    return Reply(
        columns=executed.columns,
        rows=executed.rows,
        affected_rows=executed.affected_rows,
        insert_id=executed.insert_id,
    )
