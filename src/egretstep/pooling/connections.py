"""Pools the data connections of an owner to one database server.

A connection is bound to the owner's term before its first use in that term,
so that a server that has promised a later term refuses its statements. Idle
connections are kept, because opening one costs the server time.
"""

import asyncio
import collections

import logbook

from egretstep import errors, identifiers
from egretstep.backends import mysql as database
from egretstep.pooling import wait_queue

RESERVED_CONTROL_CONNECTIONS = 2
RESET_TIMEOUT_SECONDS = 0.3
_logger = logbook.Logger('connections')


class ServerConnections:
    """The connections of this owner to one server.

    `limit` is the server's connection limit for this owner;
    `RESERVED_CONTROL_CONNECTIONS` of it are left to connections that run no
    statements of callers.
    """

    def __init__(
        self,
        *,
        server: identifiers.ServerName,
        endpoint: database.Endpoint,
        owner: str,
        limit: int,
    ) -> None:
        self._server = server
        self._endpoint = endpoint
        self._owner = owner
        self._limit = max(1, limit - RESERVED_CONTROL_CONNECTIONS)
        self._idle: collections.deque[database.ServerConnection] = (
            collections.deque()
        )
        self._open = 0
        self._waiters = wait_queue.WaitQueue()

    @property
    def server(self) -> identifiers.ServerName:
        """Return the name of the server."""
        return self._server

    @property
    def open_count(self) -> int:
        """Return how many connections are open or being opened."""
        return self._open

    @property
    def free_count(self) -> int:
        """Return how many connections are idle or may still be opened."""
        return len(self._idle) + self._limit - self._open

    async def acquire(
        self,
        term: identifiers.Term,
    ) -> database.ServerConnection:
        """Return a connection bound to a term.

        Waits for a free connection when the limit is reached, without a
        timeout of its own. Raises `errors.DatabaseServerError` when no
        connection can be opened; no statement was run then.
        """
        while True:
            connection = await self._take_or_open()
            if await self._bind_or_close(connection, term):
                return connection

    async def release(
        self,
        connection: database.ServerConnection,
    ) -> None:
        """Return a connection to the pool, or close it if it is unusable.

        An open transaction is rolled back first.
        """
        try:
            if connection.is_usable and connection.in_transaction:
                await _run_or_close(connection, 'ROLLBACK')
        except BaseException:
            self._close(connection)
            raise
        if connection.is_usable:
            self._idle.append(connection)
            self._waiters.wake_next()
        else:
            self._close(connection)

    async def warm(self, count: int, term: identifiers.Term) -> None:
        """Open idle connections up to a count and bind them to the term.

        Stops at the first connection that can't be opened.
        """
        while self._open < min(count, self._limit):
            try:
                connection = await self._connect()
            except errors.DatabaseServerError:
                return
            self._idle.append(connection)
        for connection in tuple(self._idle):
            if connection.term != term and connection in self._idle:
                self._idle.remove(connection)
                if await self._bind_or_close(connection, term):
                    self._idle.append(connection)
                    self._waiters.wake_next()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._close(self._idle.pop())

    async def _take_or_open(self) -> database.ServerConnection:
        while True:
            if self._idle:
                return self._idle.pop()
            if self._open < self._limit:
                return await self._connect()
            await self._waiters.wait()

    def _close(self, connection: database.ServerConnection) -> None:
        connection.close()
        self._record_closed()

    def _record_closed(self) -> None:
        self._open -= 1
        self._waiters.wake_next()

    async def _connect(self) -> database.ServerConnection:
        self._open += 1
        try:
            return await database.ServerConnection.open(
                endpoint=self._endpoint,
                server=self._server,
            )
        except BaseException:
            self._record_closed()
            raise

    async def _bind_or_close(
        self,
        connection: database.ServerConnection,
        term: identifiers.Term,
    ) -> bool:
        try:
            is_bound = await self._bind(connection, term)
        except BaseException:
            self._close(connection)
            raise
        if not is_bound:
            self._close(connection)
        return is_bound

    async def _bind(
        self,
        connection: database.ServerConnection,
        term: identifiers.Term,
    ) -> bool:
        if connection.is_usable and connection.term == term:
            return True
        await _run_or_close(
            connection,
            f"CALL group_session({term}, '{self._owner}')",
        )
        if not connection.is_usable:
            return False
        connection.term = term
        return True


async def _run_or_close(
    connection: database.ServerConnection,
    sql: str,
) -> None:
    """Run a short statement; close the connection if that fails."""
    try:
        async with asyncio.timeout(RESET_TIMEOUT_SECONDS):
            await connection.run(sql)
    except (
        TimeoutError,
        errors.DatabaseServerError,
        database.ServerRefusalError,
    ):
        connection.close()
