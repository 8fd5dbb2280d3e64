"""Accepts links from other programs."""

import contextlib
import typing

import capnp

from egretstep import sockets


class Listener:
    """Accepts links from other programs.

    `make_server` is called once per link and returns the implementation of
    the interface, which can hold the state of the link. Its `link_closed`
    method is awaited when the link ends.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int,
        make_server: typing.Callable[[], typing.Any],
    ) -> None:
        self._address = address
        self._port = port
        self._make_server = make_server

    async def run(self) -> None:
        """Accept links until cancelled."""
        server = await capnp.AsyncIoStream.create_server(
            self._accept,
            self._address,
            self._port,
        )
        async with server:
            sockets.detect_dead_callers(server)
            await server.serve_forever()

    async def _accept(self, stream: typing.Any) -> None:
        implementation = self._make_server()
        try:
            with contextlib.suppress(capnp.KjException, ConnectionError):
                await capnp.TwoPartyServer(
                    stream,
                    bootstrap=implementation,
                ).on_disconnect()
        finally:
            await implementation.link_closed()
