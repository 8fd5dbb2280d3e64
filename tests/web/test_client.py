"""HTTP calls over a connection whose peer gives no answer."""

import asyncio
import unittest

from egretstep import errors
from egretstep.settings import node
from egretstep.web import client

CALLS = 20
TIMEOUT_SECONDS = 0.1


async def _never_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
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
