"""Answers the balancer's question whether this host takes callers."""

import asyncio
import typing

import h11

from egretstep.platform import http_messages
from egretstep.settings import node

_OK = 200
_UNAVAILABLE = 503
_NOT_FOUND = 404
PATH = b'/v1/readiness'


class ReadinessEndpoint:
    """Serves the readiness probe over HTTP."""

    def __init__(
        self,
        *,
        address: node.Address,
        is_ready: typing.Callable[[], bool],
    ) -> None:
        self._address = address
        self._is_ready = is_ready

    async def run(self) -> None:
        """Serve until cancelled."""
        server = await asyncio.start_server(
            self._serve,
            self._address.host,
            self._address.port,
        )
        async with server:
            await server.serve_forever()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        protocol = h11.Connection(h11.SERVER)
        try:
            while await self._answer(protocol, reader, writer):
                protocol.start_next_cycle()
        except (OSError, h11.ProtocolError):
            # The balancer asks again on a new connection.
            return
        finally:
            writer.close()

    async def _answer(
        self,
        protocol: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        message = await http_messages.read(protocol, reader)
        if message is None:
            return False
        request = typing.cast(h11.Request, message.head)
        response = h11.Response(
            status_code=self._status(request.target),
            headers=[('Content-Length', '0')],
        )
        writer.write(protocol.send(response))
        writer.write(protocol.send(h11.EndOfMessage()))
        await writer.drain()
        return protocol.our_state is h11.DONE

    def _status(self, target: bytes) -> int:
        if target.partition(b'?')[0] != PATH:
            return _NOT_FOUND
        return _OK if self._is_ready() else _UNAVAILABLE
