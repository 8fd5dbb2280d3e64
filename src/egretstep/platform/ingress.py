"""Server for callers that speak the platform's line protocol."""

import asyncio

import logbook

from egretstep import identifiers, sockets
from egretstep.backends import answers
from egretstep.callers import access, platform_session, session_services
from egretstep.platform import wire
from egretstep.settings import node

START_TIMEOUT_SECONDS = 10.0
ACCEPT_BACKLOG = 512
START_FIELD_COUNT = 3
_logger = logbook.Logger('ingress')


class Ingress:
    """Accepts callers on the address to which the load balancer forwards."""

    def __init__(
        self,
        *,
        address: node.Address,
        services: session_services.SessionServices,
    ) -> None:
        self._address = address
        self._services = services
        self._connections: set[_CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def run(self) -> None:
        """Accept callers until cancelled."""
        self._server = await asyncio.start_server(
            self._serve,
            self._address.host,
            self._address.port,
            limit=wire.MAX_MESSAGE_BYTES,
            backlog=ACCEPT_BACKLOG,
        )
        async with self._server:
            await self._server.serve_forever()

    def close_idle(self) -> int:
        """Close the idle connections.

        Returns how many connections have not ended, including those that
        this call closes.
        """
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()
        return len(self._connections)

    def stop_accepting(self) -> None:
        """Refuse new connections and keep the open ones."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        connection = _CallerConnection(
            reader=reader,
            writer=writer,
            services=self._services,
        )
        self._connections.add(connection)
        try:
            await connection.run()
        except (OSError, wire.MalformedError) as error:
            _logger.debug('lost the connection to a caller: {}', error)
        finally:
            self._connections.discard(connection)
            writer.close()


class _CallerConnection:
    """Connection of one caller, which carries one session."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        services: session_services.SessionServices,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._services = services
        self._session: platform_session.PlatformSession | None = None
        self._is_answering = False

    @property
    def is_idle(self) -> bool:
        """Tell whether no request runs and no transaction is open."""
        if self._is_answering:
            return False
        return self._session is None or self._session.is_outside_transaction

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def run(self) -> None:
        """Serve the session until the caller or this host ends it."""
        sockets.detect_dead_peer(self._writer.get_extra_info('socket'))
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            line = await wire.read_line(self._reader)
            # A host that has just started has not read routes and keys yet.
            await self._services.is_configured.wait()
        session = self._start_session(line or b'')
        if session is None:
            await self._writer.drain()
            return
        self._session = session
        try:
            while await self._serve_statement(session):
                await self._writer.drain()
        finally:
            await session.close()

    def _start_session(
        self,
        line: bytes,
    ) -> platform_session.PlatformSession | None:
        fields = line.decode(errors='replace').split(' ')
        if len(fields) != START_FIELD_COUNT or fields[0] != 'START':
            self._refuse(
                answers.refusal(
                    answers.Code.MALFORMED,
                    'a session begins with START database key',
                ),
            )
            return None
        session = platform_session.PlatformSession(
            database=identifiers.DatabaseName(fields[1]),
            key=fields[2],
            services=self._services,
            parse_prepared=wire.parse_prepared,
        )
        try:
            session.authorize()
        except access.SessionRefusedError as error:
            self._refuse(error.answer)
            return None
        self._writer.write(b'READY I -\r\n')
        return session

    async def _serve_statement(
        self,
        session: platform_session.PlatformSession,
    ) -> bool:
        line = await wire.read_line(self._reader)
        if line is None or line == b'BYE':
            return False
        word, _, rest = line.partition(b' ')
        statement_id, _, text = rest.partition(b' ')
        if word != b'QUERY' or not text:
            self._refuse(
                answers.refusal(
                    answers.Code.MALFORMED,
                    'a statement is sent as QUERY id text',
                ),
            )
            return False
        self._is_answering = True
        try:
            answer = await session.handle(
                statement_id,
                wire.parse_command(text),
            )
        except access.SessionRefusedError as error:
            self._refuse(error.answer)
            return False
        finally:
            self._is_answering = False
        self._writer.write(wire.format_answer(answer))
        return not (
            self._services.is_stopping() and session.is_outside_transaction
        )

    def _refuse(self, answer: answers.Answer) -> None:
        self._writer.write(wire.format_refusal(answer))
