"""TCP options of the connections of a host."""

import socket

USER_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


def detect_dead_peer(stream: socket.socket) -> None:
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
