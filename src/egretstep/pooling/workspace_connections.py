"""Connections to one server, each bound to a workspace, below its limit.

A server knows each connection by the workspace that opened it, so that a
free one of another workspace is no use. When many are open, the connection
that has rested longest makes room. Who finds the server full waits for a
connection that is given back, since nothing was sent yet.
"""

import asyncio
import contextlib

from egretstep import clock, identifiers
from egretstep.backends import answers, commands, connection
from egretstep.pooling import connection_budget, turns
from egretstep.pooling import work as work_module

RESTED_SECONDS = 2.0
LONGEST_REFUSED_SECONDS = 1.0


class UnsentError(connection.ConnectionBrokenError):
    """The connection failed before the caller's statement was sent."""


class SessionConnection:
    """A server connection with the session state that it holds."""

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

    async def adopt(
        self,
        session_values: work_module.SessionValues,
        prepared: commands.Prepared | None,
    ) -> None:
        """Make the state on the server that of a caller's session.

        Raises `UnsentError` when that fails.
        """
        wanted = dict(session_values)
        try:
            if not self._values.keys() <= wanted.keys():
                await self._reset()
            for name, content in session_values:
                await self._set(name, content)
            if prepared is not None and prepared not in self._prepared:
                _require(await self.raw.prepare(prepared))
                self._prepared.add(prepared)
        except connection.ConnectionBrokenError as error:
            raise UnsentError(str(error)) from error

    async def begin(
        self,
        opens: work_module.Opens,
        floor: identifiers.LogPosition | None,
    ) -> answers.Answer:
        """Open a transaction on the server."""
        command = commands.BEGIN
        if opens is work_module.Opens.READ_TRANSACTION:
            command = commands.BEGIN_READ
        try:
            return await self.raw.run(b'-', command, floor)
        except connection.ConnectionBrokenError as error:
            raise UnsentError(str(error)) from error

    async def _reset(self) -> None:
        _require(await self.raw.reset())
        self._values.clear()
        self._prepared.clear()

    async def _set(self, name: bytes, content: bytes) -> None:
        if self._values.get(name) == content:
            return
        _require(await self.raw.set_value(name, content))
        self._values[name] = content


def _require(answer: answers.Answer) -> None:
    if not answer.is_ok:
        raise UnsentError(
            f'session state refused: {answer.code.value} {answer.message}',
        )


class WorkspaceConnections:
    """Idle and busy connections to one server."""

    def __init__(
        self,
        *,
        server: connection.BackendServer,
        opener: connection.Opener,
        limit: int,
        time_source: clock.Clock,
    ) -> None:
        self._server = server
        self._opener = opener
        self._clock = time_source
        self._idle: list[SessionConnection] = []
        self._open = 0
        self._is_retired = False
        self._budget = connection_budget.ConnectionBudget(
            limit=limit,
            time_source=time_source,
        )
        self._turns = turns.Turns()

    @property
    def open_count(self) -> int:
        """Return how many connections stand or are being made."""
        return self._open

    async def acquire(
        self,
        workspace: identifiers.WorkspaceName,
    ) -> SessionConnection:
        """Return a connection of a workspace; the caller bounds the wait.

        Raises `connection.ConnectionBrokenError` or
        `connection.RefusedConnectionError`.
        """
        latest = self._clock.now() + LONGEST_REFUSED_SECONDS
        while True:
            idle = self._take_idle(workspace)
            if idle is not None:
                return idle
            if not self._budget.may_rest(self._open + 1):
                self._evict_one()
            if self._budget.may_open(self._open):
                opened = await self._connect_unless_full(workspace, latest)
                if opened is not None:
                    return opened
            await self._wait_for_turn()

    def release(self, held: SessionConnection) -> None:
        """Give a connection back; a broken one is closed."""
        if held.raw.is_usable and not self._is_retired:
            held.used_at = self._clock.now()
            self._idle.append(held)
            if not self._budget.may_rest(self._open):
                self._evict_one()
        else:
            self._discard(held)
        self._turns.wake_next()

    def discard(self, held: SessionConnection) -> None:
        """Close a connection whose state is in doubt."""
        self._discard(held)
        self._turns.wake_next()

    def sweep(self) -> None:
        """Close what has rested."""
        self.close_idle(rested=RESTED_SECONDS)

    def retire(self) -> None:
        """Keep no connection that rests from now on."""
        self._is_retired = True
        self.close_idle()

    def revive(self) -> None:
        """Keep connections that rest again."""
        self._is_retired = False

    def close_idle(self, *, rested: float = 0) -> None:
        """Close connections that have rested for a number of seconds."""
        limit = self._clock.now() - rested
        resting = [each for each in self._idle if each.used_at <= limit]
        for held in resting:
            self._idle.remove(held)
            self._discard(held)

    def _take_idle(
        self,
        workspace: identifiers.WorkspaceName,
    ) -> SessionConnection | None:
        for held in reversed(self._idle):
            if held.workspace == workspace:
                self._idle.remove(held)
                if held.raw.is_usable:
                    return held
                self._discard(held)
        return None

    def _evict_one(self) -> None:
        if self._idle:
            self._discard(self._idle.pop(0))

    async def _connect_unless_full(
        self,
        workspace: identifiers.WorkspaceName,
        latest: float,
    ) -> SessionConnection | None:
        """Open a connection; return none when the server is full for now."""
        try:
            opened = await self._connect(workspace)
        except connection.RefusedConnectionError as error:
            is_full = error.code is answers.Code.TOO_MANY_CONNECTIONS
            if is_full:
                self._budget.note_refused(self._open)
            if not is_full or self._clock.now() > latest:
                raise
            return None
        self._budget.note_opened(self._open)
        return opened

    async def _wait_for_turn(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(connection_budget.PROBE_SECONDS):
                await self._turns.wait()

    async def _connect(
        self,
        workspace: identifiers.WorkspaceName,
    ) -> SessionConnection:
        self._open += 1
        try:
            opened = await self._opener.open(self._server, workspace)
        except BaseException:
            self._open -= 1
            self._turns.wake_next()
            raise
        return SessionConnection(server_connection=opened, workspace=workspace)

    def _discard(self, held: SessionConnection) -> None:
        held.raw.close()
        self._open -= 1
