"""HTTP server for the GET requests of health checks and metric scrapers."""

import asyncio
import dataclasses
import typing

import h11

from egretstep import sockets
from egretstep.settings import node
from egretstep.web import messages

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """The response to a request of one path."""

    status: int
    body: bytes = b''
    content_type: str = 'text/plain; charset=utf-8'


Pages = typing.Mapping[str, typing.Callable[[], Page]]


class Endpoint:
    """HTTP server for a fixed set of paths; others get status 404."""

    def __init__(self, *, address: node.Address, pages: Pages) -> None:
        self._address = address
        self._pages = pages

    async def run(self) -> None:
        """Listen on the address and answer requests until cancelled."""
        server = await asyncio.start_server(
            self._serve,
            self._address.host,
            self._address.port,
        )
        async with server:
            sockets.detect_dead_callers(server)
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
            # The client retries on a new connection.
            return
        finally:
            writer.close()

    async def _answer(
        self,
        protocol: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        message = await messages.read(protocol, reader)
        if message is None:
            return False
        request = typing.cast(h11.Request, message.head)
        page = self._page(request.target.decode())
        response = h11.Response(
            status_code=page.status,
            headers=[
                ('Content-Length', str(len(page.body))),
                ('Content-Type', page.content_type),
            ],
        )
        writer.write(protocol.send(response))
        if page.body:
            writer.write(protocol.send(h11.Data(data=page.body)))
        writer.write(protocol.send(h11.EndOfMessage()))
        await writer.drain()
        return protocol.our_state is h11.DONE

    def _page(self, target: str) -> Page:
        path, _, _ = target.partition('?')
        make_page = self._pages.get(path)
        return make_page() if make_page else Page(status=NOT_FOUND)
