"""Server for callers that speak the platform's line protocol."""

import asyncio
import socket

import logbook

from egretstep import clock
from egretstep.callers import client_limits, session_services
from egretstep.observability import limit_log
from egretstep.platform import caller_connection, client_stream
from egretstep.settings import node

ACCEPT_BACKLOG = 512
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
        self._connections: set[caller_connection.CallerConnection] = set()
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

    def close_unanswered(self) -> int:
        """Close the connections without a request that was read.

        Their open transactions are rolled back. Returns how many connections
        have not ended.
        """
        for connection in list(self._connections):
            if not connection.is_answering:
                connection.close()
        return len(self._connections)

    def stop_accepting(self) -> None:
        """Refuse new connections and keep the open ones."""
        if self._server is not None:
            self._server.close()

    def _make_protocol(self) -> client_stream.ClientProtocol:
        connection = caller_connection.CallerConnection(
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
        connection: caller_connection.CallerConnection,
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
