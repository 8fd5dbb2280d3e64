import asyncio
import typing
import unittest
import unittest.mock

from egretstep import errors, identifiers
from egretstep.backends import mysql as database
from egretstep.pooling import connections

SERVER = identifiers.ServerName('p')
TERM = identifiers.Term(1)
LATER_TERM = identifiers.Term(2)
LIMIT = 1


class FakeConnection:
    """A connection that hangs while `is_hanging` and fails if `is_broken`."""

    server = SERVER
    in_transaction = False

    def __init__(self) -> None:
        self.is_usable = True
        self.is_hanging = False
        self.is_broken = False
        self.term = identifiers.NO_TERM

    async def run(self, _sql: str) -> None:
        if self.is_hanging:
            await asyncio.Event().wait()
        if self.is_broken:
            self.is_usable = False
            raise errors.DatabaseServerError('broken')

    def close(self) -> None:
        self.is_usable = False


class ConnectionsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.opened: list[FakeConnection] = []
        patcher = unittest.mock.patch.object(
            database.ServerConnection,
            'open',
            self._open,
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.server_connections = connections.ServerConnections(
            server=SERVER,
            endpoint=database.Endpoint('127.0.0.1', 1, '', ''),
            owner='host-1',
            limit=LIMIT + connections.RESERVED_CONTROL_CONNECTIONS,
        )

    async def _open(self, **_settings: typing.Any) -> FakeConnection:
        self.opened.append(FakeConnection())
        return self.opened[-1]

    async def _acquire(
        self,
        term: identifiers.Term = TERM,
        seconds: float = 0.1,
    ) -> FakeConnection:
        async with asyncio.timeout(seconds):
            return typing.cast(
                FakeConnection,
                await self.server_connections.acquire(term),
            )

    async def test_cancelled_bind_frees_the_connection(self) -> None:
        first = await self._acquire()
        await self.server_connections.release(typing.cast(typing.Any, first))
        first.is_hanging = True
        with self.assertRaises(TimeoutError):
            await self._acquire(LATER_TERM, seconds=0.02)
        self.assertEqual(self.server_connections.open_count, 0)
        await self._acquire(LATER_TERM)

    async def test_cancelled_rollback_frees_the_connection(self) -> None:
        first = await self._acquire()
        first.in_transaction = True
        first.is_hanging = True
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.02):
                await self.server_connections.release(
                    typing.cast(typing.Any, first)
                )
        await self._acquire()

    async def test_broken_connection_wakes_a_waiter(self) -> None:
        first = await self._acquire()
        waiting = [
            asyncio.create_task(self._acquire(LATER_TERM, seconds=0.5))
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        first.is_broken = True
        await self.server_connections.release(typing.cast(typing.Any, first))
        acquired = await waiting[0]
        await self.server_connections.release(typing.cast(typing.Any, acquired))
        self.assertIs(await waiting[1], acquired)
