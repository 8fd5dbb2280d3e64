"""Server for callers that speak the platform's line protocol."""

import asyncio
import socket

import logbook

from egretstep import clock, identifiers, sockets
from egretstep.backends import answers, commands
from egretstep.callers import (
    access,
    client_limits,
    platform_session,
    session_services,
)
from egretstep.observability import limit_log
from egretstep.platform import client_stream, wire
from egretstep.settings import node

START_TIMEOUT_SECONDS = 10.0
ACCEPT_BACKLOG = 512
START_FIELD_COUNT = 3
# What the kernel holds of a connection counts as memory of this host.
SOCKET_BUFFER_BYTES = 65536
OVERDUE_CHECK_SECONDS = 1.0
_logger = logbook.Logger('ingress')


class Ingress:
    """Accepts callers on the address to which the load balancer forwards."""

    def __init__(
        self,
        *,
        address: node.Address,
        services: session_services.SessionServices,
        limits: client_limits.ClientLimits,
    ) -> None:
        self._address = address
        self._services = services
        time_source = clock.MonotonicClock()
        self._budget = client_limits.ByteBudget(
            total_bytes=limits.buffered_bytes,
            time_source=time_source,
        )
        self._session_budget = client_limits.ByteBudget(
            total_bytes=limits.session_bytes,
            time_source=time_source,
        )
        self._limit_log = limit_log.LimitLog(time_source=time_source)
        self._cap = client_limits.ConnectionCap(
            max_connections=limits.max_connections,
        )
        self._receive_view = memoryview(bytearray(client_stream.READ_BYTES))
        self._connections: set[_CallerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def budget(self) -> client_limits.ByteBudget:
        """Return the budget, which other hosts' statements share."""
        return self._budget

    async def run(self) -> None:
        """Accept callers until cancelled."""
        loop = asyncio.get_running_loop()
        listening = _listen(self._address)
        # asyncio accepts up to `backlog` connections before it serves one.
        self._server = await loop.create_server(
            self._make_protocol,
            sock=listening,
            backlog=client_limits.ACCEPT_BATCH,
        )
        listening.listen(ACCEPT_BACKLOG)
        overdue_task = asyncio.ensure_future(self._close_overdue())
        try:
            async with self._server:
                await self._server.serve_forever()
        finally:
            overdue_task.cancel()

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

    def _make_protocol(self) -> client_stream.ClientProtocol:
        connection = _CallerConnection(
            services=self._services,
            stream=client_stream.ClientStream(
                budget=self._budget,
                session_budget=self._session_budget,
                limits=self._limit_log,
            ),
            cap=self._cap,
        )
        return client_stream.ClientProtocol(
            connection=connection,
            serve=lambda reader, writer: self._serve(
                connection, reader, writer
            ),
            view=self._receive_view,
        )

    async def _serve(
        self,
        connection: '_CallerConnection',
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._connections.add(connection)
        try:
            await connection.run(reader, writer)
        except OSError as error:
            _logger.debug('lost the connection to a caller: {}', error)
        finally:
            self._connections.discard(connection)
            connection.end()

    async def _close_overdue(self) -> None:
        """Close connections that the host has waited for too long."""
        while True:
            await asyncio.sleep(OVERDUE_CHECK_SECONDS)
            for connection in list(self._connections):
                try:
                    connection.close_if_overdue()
                except Exception:
                    _logger.exception('a slow caller could not be closed')


def _listen(address: node.Address) -> socket.socket:
    """Return a socket that listens; accepted ones inherit its buffers."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listening = socket.create_server(
        (address.host, address.port), family=family, backlog=ACCEPT_BACKLOG
    )
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listening.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return listening


class _CallerConnection:
    """Connection of one caller, which carries one session."""

    def __init__(
        self,
        *,
        services: session_services.SessionServices,
        stream: client_stream.ClientStream,
        cap: client_limits.ConnectionCap,
    ) -> None:
        self.stream = stream
        self._services = services
        self._cap = cap
        self._session: platform_session.PlatformSession | None = None
        self._is_answering = False

    @property
    def is_idle(self) -> bool:
        """Tell whether no request runs and no transaction is open."""
        if self._is_answering:
            return False
        return self._session is None or self._session.is_outside_transaction

    def close(self) -> None:
        """Close the connection when what was written is sent."""
        self.stream.close()

    def end(self) -> None:
        """Close the connection after its session has ended."""
        self.stream.drop()

    def open(self, transport: asyncio.Transport) -> bool:
        """Use a new connection; returns False if it was refused."""
        self.stream.attach(transport)
        if self._cap.admit(self):
            return True
        self.refuse()
        return False

    def lose(self) -> None:
        """Record that the connection is closed."""
        self._cap.remove(self)

    def refuse(self) -> None:
        """Tell the caller that there are too many connections, and close."""
        self.stream.refuse_busy('connections', 'too many connections')

    def close_if_overdue(self) -> None:
        """Close the connection if the caller takes too long for a transfer."""
        self.stream.interrupt_overdue()

    async def run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve the session until the caller or this host ends it.

        After an error amid a message, returns when the connection is closed.
        """
        try:
            await self._run_session(reader, writer)
        except wire.MalformedError as error:
            refusal = answers.refusal(answers.Code.MALFORMED, str(error))
            self.stream.interrupt(refusal)
        except client_stream.BusyError as error:
            self.stream.interrupt(error.answer)
        if self.stream.is_discarding:
            await writer.wait_closed()

    async def _run_session(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        sockets.detect_dead_peer(writer.get_extra_info('socket'))
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            line = await self.stream.read_message(reader, may_be_large=False)
            if line is None:
                return
            self._cap.record_session(self)
            # A host that has just started has not read routes and keys yet.
            await self._services.is_configured.wait()
        session = self._start_session(line, writer)
        if session is None:
            return
        self._session = session
        try:
            await self._serve_statements(session, reader, writer)
        finally:
            await session.close()

    def _start_session(
        self,
        line: bytes,
        writer: asyncio.StreamWriter,
    ) -> platform_session.PlatformSession | None:
        fields = line.decode(errors='replace').split(' ')
        if len(fields) != START_FIELD_COUNT or fields[0] != 'START':
            self.stream.refuse(
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
            self.stream.refuse(error.answer)
            return None
        writer.write(b'READY I -\r\n')
        return session

    async def _serve_statements(
        self,
        session: platform_session.PlatformSession,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        goes_on = True
        while goes_on:
            goes_on = await self._serve_statement(session, reader, writer)

    async def _serve_statement(
        self,
        session: platform_session.PlatformSession,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        line = await self.stream.read_message(reader, may_be_large=True)
        if line is None or line == b'BYE':
            return False
        statement_id, command = _parse_statement(line)
        # The command holds copies of a large message already.
        del line
        if command is None:
            self.stream.refuse(
                answers.refusal(
                    answers.Code.MALFORMED,
                    'a statement is sent as QUERY id text',
                ),
            )
            return False
        self._is_answering = True
        try:
            answer = await session.handle(statement_id, command)
        except access.SessionRefusedError as error:
            self.stream.refuse(error.answer)
            return False
        finally:
            self._is_answering = False
        del command
        self.stream.release()
        self.stream.keep_session_bytes(session.held_bytes)
        await self.stream.send(writer, answer)
        return not (
            self._services.is_stopping() and session.is_outside_transaction
        )


def _parse_statement(line: bytes) -> tuple[bytes, commands.Command | None]:
    """Return the id and the command of a message; None if it is malformed."""
    word, _, rest = line.partition(b' ')
    statement_id, _, text = rest.partition(b' ')
    if word != b'QUERY' or not text:
        return statement_id, None
    return statement_id, wire.parse_command(text)
