"""Connections to one server, each bound to a workspace, below its limit.

A server knows each connection by the workspace that opened it, so that a
free one of another workspace is no use. When the limit is reached, the
connection that has rested longest makes room.
"""

from egretstep import clock, identifiers
from egretstep.backends import answers, commands, connection
from egretstep.pooling import turns
from egretstep.pooling import work as work_module

RESERVED_FOR_CONTROL = 2
SMALLEST_LIMIT = 2
GROWTH_SECONDS = 0.5
RESTED_SECONDS = 2.0


class UnsentError(connection.BrokenError):
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
        except connection.BrokenError as error:
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
        except connection.BrokenError as error:
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
        self._highest = max(SMALLEST_LIMIT, limit - RESERVED_FOR_CONTROL)
        self._limit = self._highest
        self._refused_at = float('-inf')
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

        Raises `connection.BrokenError` or `connection.RefusedConnectionError`.
        """
        while True:
            idle = self._take_idle(workspace)
            if idle is not None:
                return idle
            if self._open >= self._limit:
                self._evict_one()
            if self._open < self._limit:
                return await self._connect(workspace)
            await self._turns.wait()

    def release(self, held: SessionConnection) -> None:
        """Give a connection back; a broken one is closed."""
        if held.raw.is_usable and not self._is_retired:
            held.used_at = self._clock.now()
            self._idle.append(held)
        else:
            self._discard(held)
        self._turns.wake_next()

    def discard(self, held: SessionConnection) -> None:
        """Close a connection whose state is in doubt."""
        self._discard(held)
        self._turns.wake_next()

    def note_full(self) -> None:
        """Use fewer connections, since others hold the server's.

        Load pattern: two hosts hold connections to one server for a while,
        because they disagree on who reads from it.
        """
        now = self._clock.now()
        if now - self._refused_at >= GROWTH_SECONDS:
            self._limit = max(SMALLEST_LIMIT, self._limit // 2)
            self._refused_at = now
            while self._open > self._limit and self._idle:
                self._evict_one()

    def sweep(self) -> None:
        """Close what has rested, and allow one more connection again."""
        self.close_idle(rested=RESTED_SECONDS)
        if self._clock.now() - self._refused_at >= GROWTH_SECONDS:
            self._limit = min(self._highest, self._limit + 1)

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
