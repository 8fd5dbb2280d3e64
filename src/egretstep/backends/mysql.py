"""Connections to database servers over the MySQL protocol."""

import asyncio
import typing

import asyncmy
from asyncmy import errors as asyncmy_errors

from egretstep import errors, identifiers
from egretstep.peers import messages
from egretstep.storage import interfaces

CONNECT_TIMEOUT_SECONDS = 0.5
CONTROL_TIMEOUT_SECONDS = 0.25
# The client library raises this error before it has sent anything.
ERROR_GONE_AWAY = 2006
_CONNECTION_LOST_CODES = frozenset((0, ERROR_GONE_AWAY, 2013, 2014, 2027))
_CONNECTION_ERRORS = (OSError, TimeoutError, asyncmy_errors.Error, EOFError)


class Endpoint(typing.NamedTuple):
    """Address of a database server and the credentials of egretstep."""

    address: str
    port: int
    user: str
    password: str


class StatementResult(typing.NamedTuple):
    """Result of one statement of a database server.

    `information` is the text of the OK packet, in which the server reports the
    log position of a commit.
    """

    columns: tuple[messages.Column, ...]
    rows: typing.Sequence[tuple[messages.Cell, ...]]
    affected_rows: int
    insert_id: int
    information: bytes
    in_transaction: bool


class ServerRefusalError(errors.EgretstepError):
    """The database server answered a statement with an error."""

    def __init__(self, *, code: int, sql_state: str, message: str) -> None:
        super().__init__(f'{code} ({sql_state}): {message}')
        self.code = code
        self.sql_state = sql_state
        self.message = message


class ServerConnection:
    """One connection to a database server.

    Cells are returned as bytes of the text protocol, without conversion.
    """

    def __init__(
        self,
        *,
        client_connection: asyncmy.Connection,
        server: identifiers.ServerName,
    ) -> None:
        # The type stubs of the client library lack some attributes.
        self._client_connection: typing.Any = client_connection
        self._server = server
        self._is_state_unknown = False
        self.term = identifiers.NO_TERM

    @classmethod
    async def open(
        cls,
        *,
        endpoint: Endpoint,
        server: identifiers.ServerName,
    ) -> 'ServerConnection':
        """Connect to a database server.

        Raises `errors.DatabaseServerError` if the connection is not open
        within `CONNECT_TIMEOUT_SECONDS`.
        """
        try:
            client_connection = await _connect(endpoint)
        except _CONNECTION_ERRORS as error:
            raise errors.DatabaseServerError(
                f'cannot connect to {server} at {endpoint.address}:'
                f'{endpoint.port} ({error!r}); check that it is up',
            ) from error
        return cls(client_connection=client_connection, server=server)

    @property
    def server(self) -> identifiers.ServerName:
        """Return the name of the server."""
        return self._server

    @property
    def is_usable(self) -> bool:
        """Tell whether the connection is open and its state is known."""
        if self._is_state_unknown or not self._client_connection.connected:
            return False
        transport = self._client_connection._transport  # noqa: SLF001
        return transport is not None and not transport.is_closing()

    @property
    def in_transaction(self) -> bool:
        """Tell whether the server reports an open transaction."""
        return bool(self._client_connection.get_transaction_status())

    async def run(self, sql: bytes | str) -> StatementResult:
        """Run one statement.

        Raises `ServerRefusalError` if the server answers with an error, and
        `errors.DatabaseServerError` if the connection fails; its subclass
        `errors.NotSentError` means that the statement was not sent. After a
        failed connection or a cancelled call the connection is unusable.
        """
        self._is_state_unknown = True
        try:
            await self._client_connection.query(sql)
        except asyncmy_errors.MySQLError as error:
            raise self._to_error(error) from error
        except _CONNECTION_ERRORS as error:
            raise self._connection_error(error) from error
        self._is_state_unknown = False
        return self._read_result()

    def close(self) -> None:
        """Close the connection at once."""
        self._is_state_unknown = True
        self._client_connection.close()

    def _read_result(self) -> StatementResult:
        client_result = self._client_connection._result  # noqa: SLF001
        return StatementResult(
            columns=_read_columns(client_result),
            rows=client_result.rows or (),
            affected_rows=client_result.affected_rows or 0,
            insert_id=client_result.insert_id or 0,
            information=client_result.message or b'',
            in_transaction=self.in_transaction,
        )

    def _to_error(self, error: asyncmy_errors.MySQLError) -> Exception:
        code, text = _error_code_and_text(error)
        sql_state = getattr(error, 'sqlstate', None) or ''
        is_lost = isinstance(error, asyncmy_errors.InterfaceError) or (
            isinstance(error, asyncmy_errors.OperationalError)
            and code in _CONNECTION_LOST_CODES
        )
        if is_lost:
            return self._connection_error(
                error, is_sent=code != ERROR_GONE_AWAY
            )
        self._is_state_unknown = False
        return ServerRefusalError(
            code=code,
            sql_state=sql_state,
            message=text,
        )

    def _connection_error(
        self,
        error: BaseException,
        *,
        is_sent: bool = True,
    ) -> errors.DatabaseServerError:
        self.close()
        kind = errors.DatabaseServerError if is_sent else errors.NotSentError
        return kind(
            f'connection to {self._server} broke ({error!r}); '
            'check that the server is up',
        )


async def _connect(endpoint: Endpoint) -> asyncmy.Connection:
    """Connect within `CONNECT_TIMEOUT_SECONDS`; raises `TimeoutError`.

    The client library can miss a cancellation that arrives as the socket
    connects, and then waits for the server. So it connects in a task of its
    own, which is not waited for once it is cancelled.
    """
    connecting = asyncio.ensure_future(
        asyncmy.connect(
            host=endpoint.address,
            port=endpoint.port,
            user=endpoint.user,
            password=endpoint.password,
            autocommit=None,
            conv={},
            use_unicode=False,
        )
    )
    try:
        await asyncio.wait({connecting}, timeout=CONNECT_TIMEOUT_SECONDS)
        if connecting.done():
            return connecting.result()
    finally:
        if not connecting.done():
            connecting.add_done_callback(_close_late_connection)
            connecting.cancel()
    raise TimeoutError(f'not connected in {CONNECT_TIMEOUT_SECONDS} s')


def _close_late_connection(
    connecting: 'asyncio.Future[asyncmy.Connection]',
) -> None:
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result().close()


def _read_columns(client_result: typing.Any) -> tuple[messages.Column, ...]:
    if client_result.description is None:
        return ()
    return tuple(
        messages.Column(
            name=_decode_name(field.name),
            type_code=field.type_code,
            character_set=field.charsetnr,
        )
        for field in client_result.fields
    )


def _decode_name(name: bytes | str) -> str:
    return name.decode(errors='replace') if isinstance(name, bytes) else name


def _error_code_and_text(error: asyncmy_errors.MySQLError) -> tuple[int, str]:
    code = error.args[0] if error.args else 0
    text = error.args[1] if len(error.args) > 1 else str(error)
    return (code if isinstance(code, int) else 0), str(text)


class MySqlControl:
    """Control of a database server by its stored procedures.

    The connection is opened on use and closed after a failure, so that the
    next call does not use a connection that no longer answers.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        server: identifiers.ServerName,
    ) -> None:
        self._endpoint = endpoint
        self._server = server
        self._connection: ServerConnection | None = None
        self._call_lock = asyncio.Lock()

    async def fence(
        self,
        *,
        term: identifiers.Term,
        owner: str,
    ) -> interfaces.ServerStatus:
        """Fence the server: it promises a term to an owner, or renews that."""
        return await self._call(f"CALL group_fence({term}, '{owner}')")

    async def promote(
        self,
        *,
        term: identifiers.Term,
        owner: str,
    ) -> interfaces.ServerStatus:
        """Make the server the primary of a term that it has promised."""
        return await self._call(f"CALL group_promote({term}, '{owner}')")

    async def follow(
        self,
        *,
        term: identifiers.Term,
        owner: str,
        primary_port: int,
    ) -> interfaces.ServerStatus:
        """Make the server a replica of the primary of a term."""
        return await self._call(
            f"CALL group_follow({term}, '{owner}', {primary_port})",
        )

    async def status(self) -> interfaces.ServerStatus:
        """Return the status without changing anything."""
        return await self._call('CALL group_status()')

    async def close(self) -> None:
        """Close the control connection."""
        if self._connection:
            self._connection.close()
            self._connection = None

    async def _call(self, sql: str) -> interfaces.ServerStatus:
        try:
            async with (
                self._call_lock,
                asyncio.timeout(CONTROL_TIMEOUT_SECONDS),
            ):
                return await self._call_once(sql)
        except (TimeoutError, ServerRefusalError) as error:
            await self.close()
            raise errors.DatabaseServerError(
                f'{self._server} did not answer {sql} ({error!r}); '
                'check that it is up',
            ) from error
        except errors.DatabaseServerError:
            await self.close()
            raise

    async def _call_once(self, sql: str) -> interfaces.ServerStatus:
        if self._connection is None:
            self._connection = await ServerConnection.open(
                endpoint=self._endpoint,
                server=self._server,
            )
        answer = await self._connection.run(sql)
        return _read_status(answer.rows[0])


def _read_status(
    row: typing.Sequence[messages.Cell],
) -> interfaces.ServerStatus:
    fields = [(cell or b'').decode() for cell in row]
    return interfaces.ServerStatus(
        accepted=fields[0] == '1',
        server=identifiers.ServerName(fields[1]),
        primary=fields[2] == '1',
        promised_term=identifiers.Term(int(fields[3])),
        promised_owner=fields[4],
        received=identifiers.LogPosition(
            term=int(fields[5]),
            offset=int(fields[6]),
        ),
        applied=identifiers.LogPosition(
            term=int(fields[7]),
            offset=int(fields[8]),
        ),
    )
