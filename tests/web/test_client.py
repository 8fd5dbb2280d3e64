"""HTTP calls over a connection whose peer gives no answer."""

import asyncio
import contextlib
import unittest

from egretstep import errors
from egretstep.settings import node
from egretstep.web import client

CALLS = 20
TIMEOUT_SECONDS = 0.1


async def _never_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(ConnectionResetError):
        await reader.read()
    writer.close()


class SilentServerTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_wait_for_earlier_calls_counts_as_time(self) -> None:
        """Each call waited for the timeouts of all calls before it."""
        server = await asyncio.start_server(_never_answer, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        http = client.HttpClient(
            address=node.Address(host='127.0.0.1', port=port)
        )
        request = client.Request(method='GET', target='/')
        calls = [
            http.call(request, timeout=TIMEOUT_SECONDS) for _ in range(CALLS)
        ]
        async with asyncio.timeout(CALLS * TIMEOUT_SECONDS / 2):
            outcomes = await asyncio.gather(*calls, return_exceptions=True)
        http.close()
        await asyncio.sleep(0)
        for outcome in outcomes:
            self.assertIsInstance(outcome, errors.PlatformError)


class GivenUpRequestTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.ends: asyncio.Queue[BaseException | None] = asyncio.Queue()
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.addCleanup(self.server.close)
        port = self.server.sockets[0].getsockname()[1]
        self.http = client.HttpClient(
            address=node.Address(host='127.0.0.1', port=port)
        )
        self.request = client.Request(method='POST', target='/')

    async def test_it_is_reset_so_that_it_does_not_arrive_later(self) -> None:
        """Guards against an order that a partition holds up and lets go."""
        with self.assertRaises(errors.PlatformError) as given_up:
            await self.http.call(self.request, timeout=TIMEOUT_SECONDS)
        self.assertNotIsInstance(
            given_up.exception, errors.PlatformUnreachableError
        )
        async with asyncio.timeout(1):
            end = await self.ends.get()
        self.assertIsInstance(end, ConnectionResetError)

    async def test_it_is_known_that_it_was_not_sent(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(errors.PlatformUnreachableError):
            await self.http.call(self.request, timeout=TIMEOUT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.read()
        except ConnectionResetError as error:
            self.ends.put_nowait(error)
        else:
            self.ends.put_nowait(None)
        writer.close()
