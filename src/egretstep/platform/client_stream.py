"""Byte stream of one client, with what it holds charged to a budget."""

import asyncio
import typing

from egretstep.backends import answers
from egretstep.callers import client_limits
from egretstep.observability import limit_log
from egretstep.platform import wire

READ_BYTES = 8 * client_limits.KIB
# A longer message is read in pieces. A stream reader holds at most twice this
# and `READ_BYTES`.
LINE_BYTES = client_limits.SMALL_MESSAGE_BYTES
# Answers below this size are written in one piece.
ROW_BY_ROW_BYTES = 65536
DISCARD_SECONDS = 1.0


class BusyError(Exception):
    """There is no room for what a client sends; `answer` tells it so."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.answer = answers.refusal(
            answers.Code.OVERLOADED,
            reason,
            retry_after_ms=client_limits.RETRY_AFTER_MS,
        )


class ClientStream:
    """Messages of one client.

    The time at which the host waits for the client is recorded in its account.
    """

    def __init__(
        self,
        *,
        budget: client_limits.ByteBudget,
        session_budget: client_limits.ByteBudget,
        limits: limit_log.LimitLog,
    ) -> None:
        self.account = budget.open(self._evict)
        self._session_account = session_budget.open(self._evict)
        self._limits = limits
        self._transport: asyncio.Transport | None = None
        self._unread_bytes = 0
        self._is_reading = False
        self._is_sending = False
        self._is_refused = False
        self.is_discarding = False

    def attach(self, transport: asyncio.Transport) -> None:
        """Use a connection that was made."""
        self._transport = transport

    def record_bytes(self, count: int) -> None:
        """Record that bytes arrived."""
        self._unread_bytes += count
        if self._is_reading and self.account.waiting_since is None:
            self.account.start_waiting()

    async def read_message(
        self,
        reader: asyncio.StreamReader,
        *,
        may_be_large: bool,
    ) -> bytes | None:
        """Return the next message, or None at the end of the stream.

        Its bytes stay charged until `release`. Raises `BusyError` if there is
        no room for it, and `wire.MalformedError` if it is too long.
        """
        self._is_reading = True
        if self._unread_bytes:
            self.account.start_waiting()
        charge = self._charge if may_be_large else _refuse_large
        line = await wire.read_line(reader, charge)
        self._is_reading = False
        self.account.waiting_since = None
        if line is None or self._is_refused or self.is_discarding:
            # The client may have been told that the message has not run.
            return None
        self._unread_bytes -= len(line) + len(wire.LINE_END)
        return line

    def release(self) -> None:
        """Release the bytes of the message that was read last."""
        self.account.release()

    def keep_session_bytes(self, size: int) -> None:
        """Charge the values and prepared statements of the session.

        Raises `BusyError` if there is no room for them.
        """
        account = self._session_account
        account.release()
        excess = size - client_limits.SMALL_MESSAGE_BYTES
        if excess > 0 and not account.charge(excess):
            self._limits.record('session values', asked_bytes=size)
            raise BusyError('the values of sessions take too much memory')

    async def send(
        self,
        writer: asyncio.StreamWriter,
        answer: answers.Answer,
    ) -> None:
        """Send an answer; returns when the kernel has taken it."""
        size = sum(map(len, answer.rows))
        self._is_sending = True
        if size < ROW_BY_ROW_BYTES:
            await self._write(writer, wire.format_answer(answer), size)
        else:
            for row in answer.rows:
                await self._write(writer, wire.format_row(row), size)
            end = wire.format_answer_end(answer)
            await self._write(writer, end, size)
        self._is_sending = False
        if self.account.has_unread_answer:
            self.account.release()

    def interrupt(self, answer: answers.Answer) -> None:
        """Send an error amid a message, and close the connection.

        What the client still sends is read and dropped for a moment: the
        kernel would reset a connection with unread bytes, and the client
        might not see the error. Does nothing if that is under way already.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or self.is_discarding:
            return
        self.account.release()
        # An unread answer must not be continued by an error.
        if self._is_sending or transport.get_write_buffer_size():
            self.drop()
            return
        transport.write(wire.format_refusal(answer))
        transport.write_eof()
        transport.resume_reading()
        self.is_discarding = True
        loop = asyncio.get_running_loop()
        loop.call_later(DISCARD_SECONDS, transport.abort)

    def refuse(self, answer: answers.Answer) -> None:
        """Send an error without waiting, and close the connection."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._is_refused = True
        if self.is_discarding:
            # The client was sent an error already.
            transport.abort()
            return
        # An unread answer must not be continued by an error.
        if not transport.get_write_buffer_size():
            transport.write(wire.format_refusal(answer))
        self.drop()

    def refuse_busy(self, limit: str, reason: str) -> None:
        """Close the connection at once because of a limit of this host."""
        self._limits.record(limit)
        self.refuse(BusyError(reason).answer)

    def interrupt_overdue(self) -> None:
        """Close the connection if its client takes too long for a transfer."""
        if self.account.is_overdue:
            self._limits.record('time', held_bytes=self.account.held_bytes)
            self.interrupt(BusyError('the message took too long').answer)

    def close(self) -> None:
        """Close the connection when what was written is sent."""
        if self._transport is not None:
            self._transport.close()

    def drop(self) -> None:
        """Close the connection and drop what the client does not read."""
        self.account.release()
        self._session_account.release()
        transport = self._transport
        if transport is None or self.is_discarding:
            return
        if transport.get_write_buffer_size():
            transport.abort()
        else:
            transport.close()

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        messages: bytes,
        answer_bytes: int,
    ) -> None:
        """Write messages; wait if the kernel does not take them at once."""
        writer.write(messages)
        if not writer.transport.get_write_buffer_size():
            return
        self.account.start_waiting()
        if not self.account.has_unread_answer:
            self.account.charge_answer(answer_bytes)
        await writer.drain()

    def _charge(self, size: int) -> None:
        if not self.account.charge(size):
            self._limits.record('memory', asked_bytes=size)
            raise BusyError('large messages take too much memory')

    def _evict(self) -> None:
        self._limits.record('memory')
        self.interrupt(BusyError('other clients need the memory').answer)


def _refuse_large(_size: int) -> None:
    raise wire.MalformedError(f'this message may have {LINE_BYTES} bytes')


class Connection(typing.Protocol):
    """A client connection that is served once it is open."""

    @property
    def stream(self) -> ClientStream:
        """Return the messages of the connection."""

    def open(self, transport: asyncio.Transport) -> bool:
        """Use a new connection; returns False if it was refused."""

    def lose(self) -> None:
        """Record that the connection is closed."""


class ClientProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Receives into a buffer that all connections share.

    asyncio otherwise reads up to 256 KiB of a connection at once, which a
    stream reader then holds however low its limit is.
    """

    def __init__(
        self,
        *,
        connection: Connection,
        serve: typing.Callable[
            [asyncio.StreamReader, asyncio.StreamWriter],
            typing.Awaitable[None],
        ],
        view: memoryview,
    ) -> None:
        super().__init__(asyncio.StreamReader(limit=LINE_BYTES), serve)
        self._connection = connection
        self._view = view

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve the connection unless it is refused."""
        stream = typing.cast(asyncio.Transport, transport)
        # An answer that is not taken at once then makes its writer wait.
        stream.set_write_buffer_limits(high=0)
        if self._connection.open(stream):
            super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the stream."""
        self._connection.lose()
        super().connection_lost(exc)

    def eof_received(self) -> bool | None:
        """End the stream; returns False to close the connection."""
        if self._connection.stream.is_discarding:
            return False
        return super().eof_received()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return self._view

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the bytes that arrived to the stream."""
        if self._connection.stream.is_discarding:
            return
        self._connection.stream.record_bytes(nbytes)
        self.data_received(bytes(self._view[:nbytes]))
