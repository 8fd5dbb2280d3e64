"""A small HTTP/1.1 server with JSON bodies, for the platform's interfaces."""

import asyncio
import collections.abc
import json
import typing
import urllib.parse

Answer = tuple[int, typing.Any]
Handler = collections.abc.Callable[
    [str, str, dict[str, str], dict[str, str], bytes],
    collections.abc.Awaitable[Answer],
]


class Server:
    """Serves one address; connections stay open between requests."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.strip().split('\r\n')
        method, target, _ = first.split(' ')
        headers = {}
        for line in lines:
            name, _, content = line.partition(':')
            headers[name.strip().lower()] = content.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        path, _, query_text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        status, content = await self._handler(
            method, path, query, headers, body
        )
        encoded = json.dumps(content).encode()
        writer.write(
            f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(encoded)}\r\n\r\n'.encode()
            + encoded
        )
        await writer.drain()
        return True
