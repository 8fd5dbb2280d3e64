"""Data connections to one database server, below its limit.

Each connection is bound to the owner's term before its first use in it, so
that a server that has promised a later term refuses its statements. Warm
connections are kept, because a new one costs the server time.
"""

import asyncio
import collections

import logbook

from egretstep import errors, identifiers
from egretstep.backends import mysql as database

RESERVED_FOR_CONTROL = 2
RESET_SECONDS = 0.3
_logger = logbook.Logger('connections')


class ServerConnections:
    """The connections of this owner to one server."""

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
        self._limit = max(1, limit - RESERVED_FOR_CONTROL)
        self._idle: collections.deque[database.ServerConnection] = (
            collections.deque()
        )
        self._open = 0
        self._freed = asyncio.Condition()

    @property
    def server(self) -> identifiers.ServerName:
        """Return the name of the server."""
        return self._server

    @property
    def open_count(self) -> int:
        """Return how many connections stand or are being made."""
        return self._open

    @property
    def free_count(self) -> int:
        """Return how many more could be in use at once."""
        return len(self._idle) + self._limit - self._open

    async def acquire(
        self,
        term: identifiers.Term,
    ) -> database.ServerConnection:
        """Return a connection bound to a term.

        Waits for a free one at the limit; the caller bounds the wait.
        Raises `errors.DatabaseServerError` when none can be had, in which
        case nothing was run.
        """
        while True:
            connection = await self._take()
            if await self._bind(connection, term):
                return connection

    async def release(
        self,
        connection: database.ServerConnection,
    ) -> None:
        """Give a connection back; one in doubt is closed instead.

        An open transaction is rolled back before the next user gets it.
        """
        if connection.is_usable and connection.in_transaction:
            await _run_or_close(connection, 'ROLLBACK')
        if connection.is_usable:
            self._idle.append(connection)
        else:
            connection.close()
            self._open -= 1
        async with self._freed:
            self._freed.notify()

    async def warm(self, count: int, term: identifiers.Term) -> None:
        """Open connections ahead of demand; failures are left for later."""
        while self._open < min(count, self._limit):
            self._open += 1
            try:
                connection = await database.ServerConnection.open(
                    endpoint=self._endpoint,
                    server=self._server,
                )
            except errors.DatabaseServerError:
                self._open -= 1
                return
            self._idle.append(connection)
        for connection in list(self._idle):
            if connection.term != term and connection in self._idle:
                self._idle.remove(connection)
                if await self._bind(connection, term):
                    self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()
            self._open -= 1

    async def _take(self) -> database.ServerConnection:
        while True:
            if self._idle:
                return self._idle.pop()
            if self._open < self._limit:
                return await self._connect()
            async with self._freed:
                await self._freed.wait_for(self._may_take)

    def _may_take(self) -> bool:
        return bool(self._idle) or self._open < self._limit

    async def _connect(self) -> database.ServerConnection:
        self._open += 1
        try:
            return await database.ServerConnection.open(
                endpoint=self._endpoint,
                server=self._server,
            )
        except BaseException:
            self._open -= 1
            raise

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
            self._open -= 1
            return False
        connection.term = term
        return True


async def _run_or_close(
    connection: database.ServerConnection,
    sql: str,
) -> None:
    """Run a short statement; a connection that does not do it is closed."""
    try:
        async with asyncio.timeout(RESET_SECONDS):
            await connection.run(sql)
    except (
        TimeoutError,
        errors.DatabaseServerError,
        database.ServerRefusalError,
    ):
        connection.close()
