"""Loopback TCP proxy that can delay, hold back or reset what it forwards."""

import asyncio
import contextlib
import dataclasses

CHUNK_BYTES = 65_536
HOLD_POLL_INTERVAL_SECONDS = 0.01


@dataclasses.dataclass(slots=True)
class ProxyFaults:
    """Faults that the proxy applies to the bytes it forwards.

    `delay` is the delay of each chunk in seconds. Bytes in a direction that
    is held are forwarded when the hold ends.
    """

    delay: float = 0
    holds_requests: bool = False
    holds_answers: bool = False


class Proxy:
    """Forwards connections to a port of the loopback address.

    `port` is the port on which the proxy listens, 0 before its start.
    """

    def __init__(self, *, target_port: int) -> None:
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = 0
        self.faults = ProxyFaults()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Abort all connections without sending what is buffered."""
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self) -> None:
        """End all faults, and forward what was held back."""
        self.faults = ProxyFaults()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                '127.0.0.1',
                self._target_port,
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, target_writer}
        self._writers |= ends
        forwarders = {
            asyncio.ensure_future(
                self._forward(reader, target_writer, is_answer=False)
            ),
            asyncio.ensure_future(
                self._forward(target_reader, writer, is_answer=True),
            ),
        }
        await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        for forwarder in forwarders:
            forwarder.cancel()
        self._writers -= ends
        for end in ends:
            end.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.faults.delay)
                while self._is_held(is_answer):
                    await asyncio.sleep(HOLD_POLL_INTERVAL_SECONDS)
                writer.write(chunk)
                await writer.drain()

    def _is_held(self, is_answer: bool) -> bool:
        if is_answer:
            return self.faults.holds_answers
        return self.faults.holds_requests
