"""TCP options of the connections of a host."""

import asyncio
import contextlib
import socket
import struct
import typing

USER_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
_NO_LINGER = struct.pack('ii', 1, 0)


class SocketOptions(typing.Protocol):
    """A socket whose options can be set."""

    def setsockopt(self, level: int, option: int, number: int, /) -> None:
        """Set an option to a number."""


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that bytes on the way are not delivered later.

    A request whose answer is no longer awaited must not take effect once a
    partition ends.
    """
    stream = writer.get_extra_info('socket')
    if stream is not None:
        with contextlib.suppress(OSError):
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()


def detect_dead_callers(server: asyncio.Server) -> None:
    """Make the kernel close accepted connections whose caller is dead.

    They inherit the options of the socket that listens.
    """
    for listening in server.sockets:
        detect_dead_peer(listening)


def detect_dead_peer(stream: SocketOptions) -> None:
    """Make the kernel close a connection whose peer stops responding.

    Also disables the delay of small packets by Nagle's algorithm.
    """
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    level = socket.IPPROTO_TCP
    stream.setsockopt(level, socket.TCP_NODELAY, 1)
    stream.setsockopt(level, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    stream.setsockopt(level, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    stream.setsockopt(level, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(level, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
