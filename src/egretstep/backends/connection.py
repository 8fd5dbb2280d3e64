"""Interfaces to backend servers, independent of their protocol."""

import dataclasses
import enum
import typing

from egretstep import errors, identifiers
from egretstep.backends import answers, commands
from egretstep.settings import deployment, node
from egretstep.storage import tables

ServerId = typing.NewType('ServerId', str)


class Role(enum.Enum):
    """Role that a server reports for itself in its group."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """A backend server, as it registered itself.

    `slots` is the number of statements that it runs concurrently.
    `started_ms` is its start time in milliseconds, 0 if it gave none; a
    restarted server has another one. `sequence` grows with each registration
    of a running server. `version` is that of its row in the store.
    """

    server: ServerId
    service: deployment.ServiceName
    address: node.Address
    zone: identifiers.ZoneName
    slots: int
    role: Role
    is_draining: bool = False
    started_ms: int = 0
    sequence: int = dataclasses.field(default=0, compare=False)
    version: tables.Version = dataclasses.field(
        default=tables.NO_VERSION, compare=False
    )

    @property
    def process(self) -> tuple[ServerId, int]:
        """Return what tells this process from others of the server."""
        return self.server, self.started_ms

    def is_older_than(self, known: 'BackendServer') -> bool:
        """Return whether a registration is older than the known one.

        Within an era of the store, the store orders them. After a restore it
        may have older ones, which have a lower `sequence`.
        """
        if not self.is_same_process(known):
            return False
        is_same_era = self.version.era == known.version.era
        if is_same_era and self.version > known.version:
            return False
        return self.sequence < known.sequence

    def is_same_process(self, other: 'BackendServer') -> bool:
        """Return whether two registrations are of one process.

        Only those have an order, which `sequence` gives: the time of day, and
        so the start time, may step back.
        """
        return self.started_ms == other.started_ms


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerStatus:
    """Role and log position that a server reports.

    `received` is the newest position in its log, applied or not.
    """

    role: Role
    term: identifiers.Term
    received: identifiers.LogPosition


class ConnectionBrokenError(errors.EgretstepError):
    """The connection failed; a statement that was sent may have run."""


class RefusedConnectionError(errors.EgretstepError):
    """The server refused the connection, or its control, for a reason.

    `code` is the reason. The server that answered is alive.
    """

    def __init__(self, *, code: answers.Code, message: str) -> None:
        super().__init__(message)
        self.code = code


class ServerConnection(typing.Protocol):
    """A connection to a backend server, used for one workspace at a time.

    All calls raise `ConnectionBrokenError` if no complete answer arrives; the
    connection must then be closed.
    """

    @property
    def is_usable(self) -> bool:
        """Tell whether another statement can be sent."""

    async def run(
        self,
        statement_id: bytes,
        command: commands.Command,
        floor: identifiers.LogPosition | None = None,
    ) -> answers.Answer:
        """Run one statement and return its complete answer.

        With `floor`, the server runs it only if its log reaches this position.
        """

    async def reset(self) -> answers.Answer:
        """Clear the session values and prepared statements."""

    async def set_value(self, name: bytes, content: bytes) -> answers.Answer:
        """Set a session value."""

    async def prepare(self, prepared: commands.Prepared) -> answers.Answer:
        """Prepare a statement for later EXECUTE statements."""

    async def status(self) -> ServerStatus:
        """Ask for role, term and log position.

        Raises `RefusedConnectionError` if the server is too busy.
        """

    def close(self) -> None:
        """Close the connection; the server rolls back an open transaction."""


class Opener(typing.Protocol):
    """Opens connections to backend servers."""

    async def open(
        self,
        server: BackendServer,
        workspace: identifiers.WorkspaceName,
    ) -> ServerConnection:
        """Open a connection that is authenticated as a workspace.

        Raises `RefusedConnectionError` or `ConnectionBrokenError`; no
        statement has run in either case.
        """
