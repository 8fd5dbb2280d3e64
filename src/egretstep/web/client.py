"""HTTP client with one connection."""

import asyncio
import dataclasses
import typing

import h11

from egretstep import errors, sockets
from egretstep.settings import node
from egretstep.web import messages

CONNECT_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """An HTTP response; the names of its headers are in lower case."""

    status: int
    body: bytes
    headers: typing.Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """An HTTP request; `target` is the path with its query string."""

    method: str
    target: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


class HttpClient:
    """HTTP client that sends one request at a time over one connection.

    The connection is opened on use and reused, but not after a request on it
    failed or timed out.
    """

    def __init__(self, *, address: node.Address) -> None:
        self._address = address
        self._lock = asyncio.Lock()
        self._streams: _Streams | None = None

    async def call(self, request: Request, *, timeout: float) -> Response:
        """Send a request and return its response.

        Raises `errors.PlatformError` if no complete response arrives within
        `timeout` seconds, the wait for earlier requests included; the request
        may have taken effect, unless the error is a
        `errors.PlatformUnreachableError`.
        """
        progress = _Progress()
        try:
            async with asyncio.timeout(timeout), self._lock:
                return await self._call(request, progress)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            raise progress.error_type(
                f'no answer from {self._address} to {request.method} '
                f'{request.target} (time limit: {timeout} s): {error!r}',
            ) from error

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._streams:
            self._streams.writer.close()
            self._streams = None

    async def _call(self, request: Request, progress: '_Progress') -> Response:
        streams = self._streams or await self._connect()
        self._streams = None
        progress.was_sent = True
        try:
            response = await streams.exchange(request, str(self._address))
        except BaseException:
            sockets.reset(streams.writer)
            raise
        if streams.is_reusable():
            self._streams = streams
        else:
            streams.writer.close()
        return response

    async def _connect(self) -> '_Streams':
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(
                self._address.host,
                self._address.port,
            )
        sockets.detect_dead_peer(writer.get_extra_info('socket'))
        return _Streams(
            reader=reader,
            writer=writer,
            protocol=h11.Connection(h11.CLIENT),
        )


@dataclasses.dataclass(slots=True)
class _Progress:
    """Whether a request may have reached the server."""

    was_sent: bool = False

    @property
    def error_type(self) -> type[errors.PlatformError]:
        """Return the type of error with which the request ends."""
        if self.was_sent:
            return errors.PlatformError
        return errors.PlatformUnreachableError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Streams:
    """An open connection with the state of the HTTP protocol."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection

    async def exchange(self, request: Request, host: str) -> Response:
        """Send a request and return its response.

        Raises `ConnectionResetError` if the server closes the connection.
        """
        self._send(request, host)
        message = await messages.read(self.protocol, self.reader)
        if message is None:
            raise ConnectionResetError(
                f'{host} closed the connection before its response',
            )
        response = typing.cast(h11.Response, message.head)
        return Response(
            status=response.status_code,
            body=message.body,
            headers={
                name.decode(): header.decode('latin-1')
                for name, header in response.headers
            },
        )

    def is_reusable(self) -> bool:
        """Prepare for another request; return whether the server allows it."""
        if self.protocol.our_state is not h11.DONE:
            return False
        if self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        return True

    def _send(self, request: Request, host: str) -> None:
        headers = [
            ('Host', host),
            ('Content-Length', str(len(request.body))),
            *request.headers,
        ]
        if request.body:
            headers.append(('Content-Type', 'application/json'))
        message = h11.Request(
            method=request.method,
            target=request.target,
            headers=headers,
        )
        parts = [self.protocol.send(message)]
        if request.body:
            parts.append(self.protocol.send(h11.Data(data=request.body)))
        parts.append(self.protocol.send(h11.EndOfMessage()))
        self.writer.write(b''.join(part for part in parts if part))
