"""The MySQL server to which callers connect."""

import asyncio
import ssl
import struct

import logbook
from mysql_mimic import errors as mimic_errors
from mysql_mimic import server as mimic_server
from mysql_mimic import stream as mimic_stream
from mysql_mimic import variables

from egretstep import errors
from egretstep.callers import connection, entry_services, keys, session
from egretstep.membership import view
from egretstep.observability import metrics

DRAIN_TIMEOUT_SECONDS = 10.0
DRAIN_POLL_INTERVAL_SECONDS = 0.05
# Raised for malformed packets and lost connections.
_CONNECTION_ERRORS = (
    OSError,
    EOFError,
    TimeoutError,
    mimic_stream.ConnectionClosed,
    mimic_errors.MysqlError,
    struct.error,
    ValueError,
    IndexError,
)
_logger = logbook.Logger('callers')


class CallerServer(mimic_server.MysqlServer):
    """Accepts connections of callers, and ends those of withdrawn keys.

    `address` and `port` are those on which to listen. With `tls`, callers may
    encrypt their connections.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int,
        shared: entry_services.EntryServices,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        identity_provider = keys.KeyIdentityProvider(
            current_view=shared.current_view,
        )
        super().__init__(identity_provider=identity_provider, ssl=tls)
        self._address = address
        self._port = port
        self._shared = shared
        self._global_variables = variables.GlobalVariables()
        self._connections: set[connection.CallerConnection] = set()

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def run(self) -> None:
        """Accept callers until cancelled."""
        await self.start_server(host=self._address, port=self._port)
        await self.serve_forever()

    def end_withdrawn(self, _current: view.FleetView) -> None:
        """End the connections whose key was withdrawn."""
        for each in list(self._connections):
            refusal = each.caller_session.find_key_refusal()
            if refusal:
                asyncio.ensure_future(each.end(refusal))

    async def drain(self, refusal: errors.Refusal) -> None:
        """Stop accepting callers, and end each connection when it is idle.

        Returns when all connections have ended, or after
        `DRAIN_TIMEOUT_SECONDS` with the others still open.
        """
        self.close()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + DRAIN_TIMEOUT_SECONDS
        while self._connections and loop.time() < deadline:
            idle = [each for each in self._connections if each.is_idle]
            await asyncio.gather(*(each.end(refusal) for each in idle))
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)

    async def _client_connected_cb(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        accepted = connection.CallerConnection(
            stream=mimic_stream.MysqlStream(reader, writer),
            session=session.CallerSession(
                shared=self._shared,
                global_variables=self._global_variables,
            ),
            control=self.control,
            identity_provider=self.identity_provider,
            server_capabilities=self.capabilities,
            ssl=self.ssl,
        )
        accepted.connection_id = await self.control.add(accepted)
        self._connections.add(accepted)
        metrics.caller_connections.set({}, len(self._connections))
        try:
            await accepted.start()
        except _CONNECTION_ERRORS as error:
            _logger.debug('lost the connection to a caller: {!r}', error)
        finally:
            writer.close()
            await self._remove(accepted)

    async def _remove(self, ended: connection.CallerConnection) -> None:
        self._connections.discard(ended)
        metrics.caller_connections.set({}, len(self._connections))
        await self.control.remove(ended.connection_id)
