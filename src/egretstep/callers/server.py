"""The MySQL server that callers connect to."""

import asyncio
import ssl
import struct

import logbook
from mysql_mimic import errors as mimic_errors
from mysql_mimic import server as mimic_server
from mysql_mimic import stream as mimic_stream
from mysql_mimic import variables

from egretstep import errors
from egretstep.callers import connection, keys, session, surroundings
from egretstep.membership import view
from egretstep.observability import metrics

STOP_SECONDS = 10.0
DRAIN_POLL_SECONDS = 0.05
# What broken packets and lost connections raise.
_DROPPED = (
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
    """Accepts callers and ends the connections of withdrawn keys."""

    def __init__(
        self,
        *,
        address: str,
        port: int,
        shared: surroundings.Surroundings,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        directory = keys.KeyIdentityProvider(current_view=shared.current_view)
        super().__init__(identity_provider=directory, ssl=tls)
        self._address = address
        self._port = port
        self._shared = shared
        self._global_variables = variables.GlobalVariables()
        self._open: set[connection.CallerConnection] = set()

    @property
    def open_count(self) -> int:
        """Return how many callers are connected."""
        return len(self._open)

    async def run(self) -> None:
        """Accept callers until cancelled."""
        await self.start_server(host=self._address, port=self._port)
        await self.serve_forever()

    def follow(self, _current: view.FleetView) -> None:
        """End the connections whose key does not work any more."""
        for caller in list(self._open):
            refusal = caller.caller.find_key_refusal()
            if refusal:
                asyncio.ensure_future(caller.end(refusal))

    async def drain(self, refusal: errors.Refusal) -> None:
        """Stop accepting and let every statement and transaction end."""
        self.close()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + STOP_SECONDS
        while self._open and loop.time() < deadline:
            idle = [caller for caller in self._open if caller.is_idle]
            await asyncio.gather(*(caller.end(refusal) for caller in idle))
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _client_connected_cb(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        caller = connection.CallerConnection(
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
        caller.connection_id = await self.control.add(caller)
        self._open.add(caller)
        metrics.caller_connections.set({}, len(self._open))
        try:
            await caller.start()
        except _DROPPED as error:
            _logger.debug('a caller was dropped: {!r}', error)
        finally:
            writer.close()
            await self._forget(caller)

    async def _forget(self, caller: connection.CallerConnection) -> None:
        self._open.discard(caller)
        metrics.caller_connections.set({}, len(self._open))
        await self.control.remove(caller.connection_id)
