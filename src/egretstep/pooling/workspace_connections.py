"""Pools the connections to one server, each of which serves one workspace.

A server identifies a connection by the workspace that opened it, so that an
idle connection of another workspace can't be reused. When many are open, the
connection that has been idle longest is closed to make room. A statement that
finds the server full waits until a connection is released; it was not sent
yet, so that waiting is safe.
"""

import asyncio
import collections
import contextlib
import typing

from egretstep import clock, identifiers
from egretstep.backends import answers, commands, connection
from egretstep.pooling import (
    connection_budget,
    idle_transactions,
    wait_queue,
)
from egretstep.pooling import work as work_module

IDLE_TIMEOUT_SECONDS = 2.0
FULL_SERVER_WAIT_SECONDS = 1.0


class UnsentError(connection.ConnectionBrokenError):
    """The connection failed before the caller's statement was sent."""


class SessionConnection:
    """A server connection and the session state that was set on it.

    `used_at` is the monotonic time of the latest release, zero for a
    connection that was not released yet.
    """

    def __init__(
        self,
        *,
        server_connection: connection.ServerConnection,
        workspace: identifiers.WorkspaceName,
    ) -> None:
        self._values: dict[bytes, bytes] = {}
        self._prepared: set[commands.Prepared] = set()
        self.raw = server_connection
        self.workspace = workspace
        self.used_at = 0.0

    async def apply_session(
        self,
        session_values: work_module.SessionValues,
        prepared: commands.Prepared | None,
    ) -> None:
        """Set the session state on the server to that of a caller's session.

        Resets the session first if it holds values that the caller did not
        set. Raises `UnsentError` when the connection breaks or the server
        refuses the state.
        """
        wanted_values = dict(session_values)
        try:
            if not self._values.keys() <= wanted_values.keys():
                await self._reset()
            for name, content in session_values:
                await self._set_value(name, content)
            if prepared is not None and prepared not in self._prepared:
                _raise_unless_ok(await self.raw.prepare(prepared))
                self._prepared.add(prepared)
        except connection.ConnectionBrokenError as error:
            raise UnsentError(str(error)) from error

    async def begin(
        self,
        opens: work_module.Opens,
        floor: identifiers.LogPosition | None,
    ) -> answers.Answer:
        """Open a transaction and return the server's answer.

        Raises `UnsentError` when the connection breaks.
        """
        command = commands.BEGIN
        if opens is work_module.Opens.READ_TRANSACTION:
            command = commands.BEGIN_READ
        try:
            return await self.raw.run(b'-', command, floor)
        except connection.ConnectionBrokenError as error:
            raise UnsentError(str(error)) from error

    async def _reset(self) -> None:
        _raise_unless_ok(await self.raw.reset())
        self._values.clear()
        self._prepared.clear()

    async def _set_value(self, name: bytes, content: bytes) -> None:
        if self._values.get(name) == content:
            return
        _raise_unless_ok(await self.raw.set_value(name, content))
        self._values[name] = content


def _raise_unless_ok(answer: answers.Answer) -> None:
    if not answer.is_ok:
        raise UnsentError(
            f'session state refused: {answer.code.value} {answer.message}',
        )


class WorkspaceConnections:
    """The idle and busy connections of this host to one server.

    `make_room` is called for a workspace whose statement finds no connection
    left. It returns whether it freed one, and may raise
    `errors.RefusedError` instead of letting the statement wait.
    """

    def __init__(
        self,
        *,
        server: connection.BackendServer,
        opener: connection.Opener,
        limit: int,
        time_source: clock.Clock,
        make_room: typing.Callable[[identifiers.WorkspaceName], bool],
    ) -> None:
        self._server = server
        self._opener = opener
        self._make_room = make_room
        self._limit = limit
        self._clock = time_source
        self._idle: list[SessionConnection] = []
        self._held: collections.Counter[identifiers.WorkspaceName] = (
            collections.Counter()
        )
        self._waiting: collections.Counter[identifiers.WorkspaceName] = (
            collections.Counter()
        )
        self._is_reuse_stopped = False
        self._budget = connection_budget.ConnectionBudget(
            limit=limit,
            time_source=time_source,
        )
        self._waiters = wait_queue.WaitQueue()

    @property
    def open_count(self) -> int:
        """Return how many connections are open or being opened."""
        return self._held.total()

    @property
    def holdings(self) -> idle_transactions.Holdings:
        """Return who holds the connections or waits for one."""
        return idle_transactions.Holdings(
            limit=self._limit,
            held=self._held,
            active=frozenset((*self._held, *self._waiting)),
        )

    async def acquire(
        self,
        workspace: identifiers.WorkspaceName,
    ) -> SessionConnection:
        """Return an idle or new connection of a workspace.

        Waits without a timeout of its own while no connection may be opened.
        Raises `connection.ConnectionBrokenError` when opening one fails, and
        `connection.RefusedConnectionError` when the server refuses it; a
        refusal because the server is full is retried for
        `FULL_SERVER_WAIT_SECONDS`.
        """
        refused_until = self._clock.now() + FULL_SERVER_WAIT_SECONDS
        while True:
            idle = self._take_idle(workspace)
            if idle is not None:
                return idle
            if not self._budget.may_keep_idle(self.open_count + 1):
                self._close_oldest_idle()
            if self._budget.may_open(self.open_count):
                opened = await self._connect_unless_full(
                    workspace, refused_until
                )
                if opened is not None:
                    return opened
            if not self._free_connection(workspace):
                await self._wait_for_release(workspace)

    async def acquire_with_session(
        self, work: work_module.Work
    ) -> SessionConnection:
        """Return a connection that has the session state of a statement.

        Idle connections that are broken are skipped. Raises what `acquire`
        does, and `UnsentError`.
        """
        conn = await self.acquire(work.workspace)
        while not await self._apply_session(conn, work):
            conn = await self.acquire(work.workspace)
        return conn

    def release(self, session_connection: SessionConnection) -> None:
        """Return a connection to the pool, or close it if it is unusable."""
        if session_connection.raw.is_usable and not self._is_reuse_stopped:
            session_connection.used_at = self._clock.now()
            self._idle.append(session_connection)
            if not self._budget.may_keep_idle(self.open_count):
                self._close_oldest_idle()
        else:
            self._close(session_connection)
        self._waiters.wake_next()

    def discard(self, session_connection: SessionConnection) -> None:
        """Close a connection whose session state is not known."""
        self._close(session_connection)
        self._waiters.wake_next()

    def close_expired(self) -> None:
        """Close connections that were idle for `IDLE_TIMEOUT_SECONDS`."""
        self.close_idle(idle_seconds=IDLE_TIMEOUT_SECONDS)

    def stop_reuse(self) -> None:
        """Close idle connections, and released ones from now on."""
        self._is_reuse_stopped = True
        self.close_idle()

    def allow_reuse(self) -> None:
        """Keep released connections for reuse again."""
        self._is_reuse_stopped = False

    def close_idle(self, *, idle_seconds: float = 0) -> None:
        """Close connections that were idle for at least some seconds."""
        limit = self._clock.now() - idle_seconds
        expired = [each for each in self._idle if each.used_at <= limit]
        for session_connection in expired:
            self._idle.remove(session_connection)
            self._close(session_connection)

    async def _apply_session(
        self, conn: SessionConnection, work: work_module.Work
    ) -> bool:
        """Set the session state; return False to try another connection."""
        is_new = conn.used_at == 0
        try:
            await conn.apply_session(work.values, work.command.prepared)
        except BaseException as error:
            self.discard(conn)
            is_unsent = isinstance(error, UnsentError)
            # If a new connection fails, another new one would fail as well.
            if is_new or not is_unsent:
                raise
            return False
        return True

    def _take_idle(
        self,
        workspace: identifiers.WorkspaceName,
    ) -> SessionConnection | None:
        for session_connection in reversed(self._idle):
            if session_connection.workspace == workspace:
                self._idle.remove(session_connection)
                if session_connection.raw.is_usable:
                    return session_connection
                self._close(session_connection)
        return None

    def _close_oldest_idle(self) -> None:
        if self._idle:
            self._close(self._idle.pop(0))

    async def _connect_unless_full(
        self,
        workspace: identifiers.WorkspaceName,
        refused_until: float,
    ) -> SessionConnection | None:
        """Open a connection, or return None when the server is full.

        Raises `connection.RefusedConnectionError` when the server is still
        full at the monotonic time `refused_until`.
        """
        try:
            opened = await self._connect(workspace)
        except connection.RefusedConnectionError as error:
            is_full = error.code is answers.Code.TOO_MANY_CONNECTIONS
            if is_full:
                self._budget.record_refused(self.open_count)
            if not is_full or self._clock.now() > refused_until:
                raise
            return None
        self._budget.record_opened(self.open_count)
        return opened

    def _free_connection(self, workspace: identifiers.WorkspaceName) -> bool:
        """Make room for a workspace; return whether that freed one."""
        with _counted(self._waiting, workspace):
            return self._make_room(workspace)

    async def _wait_for_release(
        self, workspace: identifiers.WorkspaceName
    ) -> None:
        with (
            _counted(self._waiting, workspace),
            contextlib.suppress(TimeoutError),
        ):
            async with asyncio.timeout(
                connection_budget.PROBE_INTERVAL_SECONDS
            ):
                await self._waiters.wait()

    async def _connect(
        self,
        workspace: identifiers.WorkspaceName,
    ) -> SessionConnection:
        self._held[workspace] += 1
        try:
            opened = await self._opener.open(self._server, workspace)
        except BaseException:
            _decrement(self._held, workspace)
            self._waiters.wake_next()
            raise
        return SessionConnection(server_connection=opened, workspace=workspace)

    def _close(self, session_connection: SessionConnection) -> None:
        session_connection.raw.close()
        _decrement(self._held, session_connection.workspace)


@contextlib.contextmanager
def _counted(
    counter: collections.Counter[identifiers.WorkspaceName],
    workspace: identifiers.WorkspaceName,
) -> typing.Generator[None, None, None]:
    """Count a workspace in a counter while the block runs."""
    counter[workspace] += 1
    try:
        yield
    finally:
        _decrement(counter, workspace)


def _decrement(
    counter: collections.Counter[identifiers.WorkspaceName],
    workspace: identifiers.WorkspaceName,
) -> None:
    """Count a workspace once less; one at zero is removed."""
    counter[workspace] -= 1
    if not counter[workspace]:
        del counter[workspace]
