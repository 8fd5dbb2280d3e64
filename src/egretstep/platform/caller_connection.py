"""Connection of one caller that speaks the platform's line protocol."""

import asyncio

from egretstep import identifiers, sockets
from egretstep.backends import answers, commands
from egretstep.callers import (
    access,
    client_limits,
    platform_session,
    platform_work,
    session_services,
)
from egretstep.platform import client_stream, wire

START_TIMEOUT_SECONDS = 10.0
START_FIELD_COUNT = 3
# Names a refused START in the log, which has no id.
START_ID = b'START'


class CallerConnection:
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
    def is_answering(self) -> bool:
        """Tell whether a request was read and is not answered yet."""
        return self._is_answering

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
            route, _workspace = session.authorize()
        except access.SessionRefusedError as error:
            self.stream.refuse(error.answer)
            return None
        refusal = platform_work.refuse_while_stopping(
            START_ID, route, self._services.stop
        )
        if refusal is not None:
            self.stream.refuse(refusal)
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
            return await self._answer(session, writer, statement_id, command)
        finally:
            self._is_answering = False

    async def _answer(
        self,
        session: platform_session.PlatformSession,
        writer: asyncio.StreamWriter,
        statement_id: bytes,
        command: commands.Command,
    ) -> bool:
        """Run a statement and send its answer; return false to close."""
        try:
            answer = await session.handle(statement_id, command)
        except access.SessionRefusedError as error:
            self.stream.refuse(error.answer)
            return False
        del command
        self.stream.release()
        self.stream.keep_session_bytes(session.held_bytes)
        await self.stream.send(writer, answer)
        return not (
            self._services.stop.is_stopping and session.is_outside_transaction
        )


def _parse_statement(line: bytes) -> tuple[bytes, commands.Command | None]:
    """Return the id and the command of a message; None if it is malformed."""
    word, _, rest = line.partition(b' ')
    statement_id, _, text = rest.partition(b' ')
    if word != b'QUERY' or not text:
        return statement_id, None
    return statement_id, wire.parse_command(text)
