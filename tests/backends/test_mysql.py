"""Connecting to a database server that accepts and then says nothing."""

import asyncio
import contextlib
from unittest import mock

from egretstep import errors
from egretstep.backends import mysql
from tests import virtual_time

ENDPOINT = mysql.Endpoint('127.0.0.1', 1, 'user', '')
LATE_SECONDS = 4.0


class _LateClient:
    """A client library that misses a cancellation and connects late.

    `asyncio.wait_for` does so when its result arrives in the same iteration of
    the loop, on a busy machine.
    """

    def __init__(self) -> None:
        self.connection = mock.Mock()

    async def connect(self, **_options: object) -> mock.Mock:
        end = asyncio.get_running_loop().time() + LATE_SECONDS
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(LATE_SECONDS)
        await asyncio.sleep(end - asyncio.get_running_loop().time())
        return self.connection


class ConnectTest(virtual_time.VirtualTimeTestCase):
    """A statement waited until a silent server woke, 4 s later."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.client = _LateClient()
        patch = mock.patch.object(mysql.asyncmy, 'connect', self.client.connect)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_a_missed_cancellation_does_not_prolong_the_timeout(
        self,
    ) -> None:
        with self.assertRaises(errors.DatabaseServerError):
            await self._open()
        self.assertAlmostEqual(self._now(), mysql.CONNECT_TIMEOUT_SECONDS)

    async def test_an_abort_ends_the_wait_at_once(self) -> None:
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.1):
                await self._open()
        self.assertAlmostEqual(self._now(), 0.1)

    async def test_a_connection_that_comes_late_is_closed(self) -> None:
        with self.assertRaises(errors.DatabaseServerError):
            await self._open()
        await asyncio.sleep(LATE_SECONDS)
        self.client.connection.close.assert_called_once()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _open(self) -> mysql.ServerConnection:
        return await mysql.ServerConnection.open(
            endpoint=ENDPOINT, server='server'
        )
