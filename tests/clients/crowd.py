"""A crowd of raw client connections to one host."""

import asyncio
import contextlib
import socket
import typing

from standins import platform_caller

ADDRESS = '127.0.0.1'
STEP_TIMEOUT_SECONDS = 60.0
RECEIVE_BYTES = 65536
START = (
    f'START {platform_caller.DATABASE} {platform_caller.DEPOT_KEY}\r\n'
).encode()


class Crowd:
    """Connections that do the same at once.

    The host may close any of them at any time. `send` shares one buffer
    between all connections, so that a crowd costs the test little memory.
    """

    def __init__(self, *, port: int) -> None:
        self._port = port
        self._loop = asyncio.get_running_loop()
        self._sockets: list[socket.socket] = []

    async def __aenter__(self) -> typing.Self:
        """Return the crowd, which has no connections yet."""
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Close all connections."""
        for connection in self._sockets:
            connection.close()

    async def connect(self, count: int, receive_buffer: int = 0) -> None:
        """Open connections; `receive_buffer` is in bytes, zero is unset."""
        for _ in range(count):
            connection = socket.socket()
            self._sockets.append(connection)
            connection.setblocking(False)
            if receive_buffer:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
                )
            with contextlib.suppress(OSError):
                await self._loop.sock_connect(connection, (ADDRESS, self._port))

    async def start(self) -> None:
        """Send START on each connection and read the answer."""
        await self.send(START)
        await asyncio.gather(*map(self._receive, self._sockets))

    async def send(self, content: bytes, seconds: float = 0) -> None:
        """Send the same bytes on all connections at once.

        Returns when the host has taken all bytes or closed the connections,
        or after `seconds`, if that is set, with the rest unsent.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds or STEP_TIMEOUT_SECONDS):
                await asyncio.gather(
                    *(self._send(each, content) for each in self._sockets)
                )

    async def send_in_pieces(
        self, content: bytes, size: int, pause: float = 0
    ) -> None:
        """Send bytes in pieces of `size`, `pause` seconds apart."""
        view = memoryview(content)
        for begin in range(0, len(content), size):
            await self.send(view[begin : begin + size])
            await asyncio.sleep(pause)

    async def send_in_turn(self, content: bytes, pause: float) -> None:
        """Send the same bytes on one connection each `pause` seconds."""
        for connection in self._sockets:
            await self._send(connection, content)
            await asyncio.sleep(pause)

    async def receive_slowly(self, rounds: int, pause: float) -> None:
        """Read one byte of each connection in each of some rounds."""
        for _ in range(rounds):
            for connection in self._sockets:
                with contextlib.suppress(OSError):
                    connection.recv(1)
            await asyncio.sleep(pause)

    async def _send(self, connection: socket.socket, content: bytes) -> None:
        with contextlib.suppress(OSError):
            await self._loop.sock_sendall(connection, content)

    async def _receive(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(STEP_TIMEOUT_SECONDS):
                await self._loop.sock_recv(connection, RECEIVE_BYTES)
