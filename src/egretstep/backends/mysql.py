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
# The client library gives this one before it has sent anything.
CODE_GONE_AWAY = 2006
_LOST_CODES = frozenset((0, CODE_GONE_AWAY, 2013, 2014, 2027))
_ERRORS = (OSError, TimeoutError, asyncmy_errors.Error, EOFError)


class Endpoint(typing.NamedTuple):
    """Address of a database server and the system's credentials."""

    address: str
    port: int
    user: str
    password: str


class StatementResult(typing.NamedTuple):
    """What a database server answered to one statement.

    `information` is the text of its OK packet, where the server tells the
    log position of a commit.
    """

    columns: tuple[messages.Column, ...]
    rows: typing.Sequence[tuple[messages.Cell, ...]]
    affected_rows: int
    insert_id: int
    information: bytes
    in_transaction: bool


class ServerRefusalError(errors.EgretstepError):
    """The database server refused a statement with an error of its own."""

    def __init__(self, *, code: int, sql_state: str, message: str) -> None:
        super().__init__(f'{code} ({sql_state}): {message}')
        self.code = code
        self.sql_state = sql_state
        self.message = message


class ServerConnection:
    """One connection to a database server.

    Rows come as the bytes of the text protocol, without conversion.
    """

    def __init__(
        self,
        *,
        raw: asyncmy.Connection,
        server: identifiers.ServerName,
    ) -> None:
        # The client library's type stubs leave some attributes out.
        self._raw: typing.Any = raw
        self._server = server
        self._in_doubt = False
        self.term = identifiers.NO_TERM

    @classmethod
    async def open(
        cls,
        *,
        endpoint: Endpoint,
        server: identifiers.ServerName,
    ) -> 'ServerConnection':
        """Connect; raises `errors.DatabaseServerError`."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                raw = await asyncmy.connect(
                    host=endpoint.address,
                    port=endpoint.port,
                    user=endpoint.user,
                    password=endpoint.password,
                    autocommit=None,
                    conv={},
                    use_unicode=False,
                )
        except _ERRORS as error:
            raise errors.DatabaseServerError(
                f'can not connect to {server} at {endpoint.address}:'
                f'{endpoint.port} ({error!r}); check that it is up',
            ) from error
        return cls(raw=raw, server=server)

    @property
    def server(self) -> identifiers.ServerName:
        """Return the name of the server."""
        return self._server

    @property
    def is_usable(self) -> bool:
        """Tell whether the state of the connection is known."""
        if self._in_doubt or not self._raw.connected:
            return False
        transport = self._raw._transport  # noqa: SLF001
        return transport is not None and not transport.is_closing()

    @property
    def in_transaction(self) -> bool:
        """Tell whether the server says that a transaction is open."""
        return bool(self._raw.get_transaction_status())

    async def run(self, sql: bytes | str) -> StatementResult:
        """Run one statement.

        Raises `ServerRefusalError` when the server refused it, and
        `errors.DatabaseServerError` when the connection broke, after which
        the connection is not used again. A cancelled call leaves the
        connection in doubt as well.
        """
        self._in_doubt = True
        try:
            await self._raw.query(sql)
        except asyncmy_errors.MySQLError as error:
            raise self._translate(error) from error
        except _ERRORS as error:
            raise self._broken(error) from error
        self._in_doubt = False
        return self._read_result()

    def close(self) -> None:
        """Close the connection at once."""
        self._in_doubt = True
        self._raw.close()

    def _read_result(self) -> StatementResult:
        raw_result = self._raw._result  # noqa: SLF001
        return StatementResult(
            columns=_columns(raw_result),
            rows=raw_result.rows or (),
            affected_rows=raw_result.affected_rows or 0,
            insert_id=raw_result.insert_id or 0,
            information=raw_result.message or b'',
            in_transaction=self.in_transaction,
        )

    def _translate(self, error: asyncmy_errors.MySQLError) -> Exception:
        code, text = _split(error)
        sql_state = getattr(error, 'sqlstate', None) or ''
        lost = isinstance(error, asyncmy_errors.InterfaceError) or (
            isinstance(error, asyncmy_errors.OperationalError)
            and code in _LOST_CODES
        )
        if lost:
            return self._broken(error, is_sent=code != CODE_GONE_AWAY)
        self._in_doubt = False
        return ServerRefusalError(
            code=code,
            sql_state=sql_state,
            message=text,
        )

    def _broken(
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


def _columns(raw_result: typing.Any) -> tuple[messages.Column, ...]:
    if raw_result.description is None:
        return ()
    return tuple(
        messages.Column(
            name=_text(field.name),
            type_code=field.type_code,
            character_set=field.charsetnr,
        )
        for field in raw_result.fields
    )


def _text(name: bytes | str) -> str:
    return name.decode(errors='replace') if isinstance(name, bytes) else name


def _split(error: asyncmy_errors.MySQLError) -> tuple[int, str]:
    code = error.args[0] if error.args else 0
    text = error.args[1] if len(error.args) > 1 else str(error)
    return (code if isinstance(code, int) else 0), str(text)


class MySqlControl:
    """Control of a database server by its procedures.

    The connection is opened on use. After a failure it is closed, so that
    a connection that went silent is replaced by a new one.
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
        self._turn = asyncio.Lock()

    async def fence(
        self,
        *,
        term: identifiers.Term,
        owner: str,
    ) -> interfaces.ServerStatus:
        """Make the server promise a term, or renew that promise."""
        return await self._call(f"CALL group_fence({term}, '{owner}')")

    async def promote(
        self,
        *,
        term: identifiers.Term,
        owner: str,
    ) -> interfaces.ServerStatus:
        """Make the server the primary of a term it has promised."""
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
            async with self._turn, asyncio.timeout(CONTROL_TIMEOUT_SECONDS):
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
