"""A loopback proxy that delays, resets, silences and cuts one way."""

import asyncio
import contextlib
import dataclasses

CHUNK_BYTES = 65_536
POLL_SECONDS = 0.01


@dataclasses.dataclass(slots=True)
class Disturbance:
    """What the proxy does to bytes; `delay` is in seconds for each chunk."""

    delay: float = 0
    holds_requests: bool = False
    holds_answers: bool = False


class Proxy:
    """Passes connections on to a port of loopback."""

    def __init__(self, *, target_port: int) -> None:
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = 0
        self.disturbance = Disturbance()

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
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Pass everything on again."""
        self.disturbance = Disturbance()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            onward_reader, onward = await asyncio.open_connection(
                '127.0.0.1',
                self._target_port,
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, onward}
        self._writers |= ends
        passing = {
            asyncio.ensure_future(self._pass(reader, onward, is_answer=False)),
            asyncio.ensure_future(
                self._pass(onward_reader, writer, is_answer=True),
            ),
        }
        await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        for each in passing:
            each.cancel()
        self._writers -= ends
        for end in ends:
            end.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.disturbance.delay)
                while self._holds(is_answer):
                    await asyncio.sleep(POLL_SECONDS)
                writer.write(chunk)
                await writer.drain()

    def _holds(self, is_answer: bool) -> bool:
        if is_answer:
            return self.disturbance.holds_answers
        return self.disturbance.holds_requests
