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
from egretstep.pooling import turns

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
        self._turns = turns.Turns()

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
            if await self._bind_or_drop(connection, term):
                return connection

    async def release(
        self,
        connection: database.ServerConnection,
    ) -> None:
        """Give a connection back; one in doubt is closed instead.

        An open transaction is rolled back before the next user gets it.
        """
        try:
            if connection.is_usable and connection.in_transaction:
                await _run_or_close(connection, 'ROLLBACK')
        except BaseException:
            self._drop(connection)
            raise
        if connection.is_usable:
            self._idle.append(connection)
            self._turns.wake_next()
        else:
            self._drop(connection)

    async def warm(self, count: int, term: identifiers.Term) -> None:
        """Open connections ahead of demand; failures are left for later."""
        while self._open < min(count, self._limit):
            try:
                connection = await self._connect()
            except errors.DatabaseServerError:
                return
            self._idle.append(connection)
        for connection in tuple(self._idle):
            if connection.term != term and connection in self._idle:
                self._idle.remove(connection)
                if await self._bind_or_drop(connection, term):
                    self._idle.append(connection)
                    self._turns.wake_next()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._drop(self._idle.pop())

    async def _take(self) -> database.ServerConnection:
        while True:
            if self._idle:
                return self._idle.pop()
            if self._open < self._limit:
                return await self._connect()
            await self._turns.wait()

    def _drop(self, connection: database.ServerConnection) -> None:
        connection.close()
        self._free_place()

    def _free_place(self) -> None:
        self._open -= 1
        self._turns.wake_next()

    async def _connect(self) -> database.ServerConnection:
        self._open += 1
        try:
            return await database.ServerConnection.open(
                endpoint=self._endpoint,
                server=self._server,
            )
        except BaseException:
            self._free_place()
            raise

    async def _bind_or_drop(
        self,
        connection: database.ServerConnection,
        term: identifiers.Term,
    ) -> bool:
        try:
            is_bound = await self._bind(connection, term)
        except BaseException:
            self._drop(connection)
            raise
        if not is_bound:
            self._drop(connection)
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
