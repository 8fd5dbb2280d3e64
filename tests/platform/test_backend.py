"""What a status that a server does not report tells of it."""

import asyncio
import unittest
from unittest import mock

from egretstep.backends import connection
from egretstep.platform import backend


class StatusTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_server_that_is_too_busy_for_a_status_is_alive(
        self,
    ) -> None:
        """Guards against replacing a primary because its slots are full."""
        with self.assertRaises(connection.RefusedConnectionError):
            await self._status(b'ERROR BUSY i-1\r\nREADY I 1.1\r\n')

    async def test_another_error_is_no_sign_of_health(self) -> None:
        with self.assertRaises(connection.ConnectionBrokenError):
            await self._status(b'ERROR FAILED i-1\r\nREADY I 1.1\r\n')

    async def _status(self, reply: bytes) -> connection.ServerStatus:
        reader = asyncio.StreamReader()
        reader.feed_data(reply)
        server_connection = backend.PlatformConnection(
            reader=reader, writer=mock.Mock()
        )
        return await server_connection.status()
