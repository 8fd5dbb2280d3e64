"""Options of TCP sockets that every connection of a host has."""

import socket

UNACKNOWLEDGED_MS = 1500
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


def watch_silence(stream: socket.socket) -> None:
    """Make the kernel end a connection whose other end has gone silent."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    level = socket.IPPROTO_TCP
    stream.setsockopt(level, socket.TCP_NODELAY, 1)
    stream.setsockopt(level, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    stream.setsockopt(level, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    stream.setsockopt(level, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(level, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
