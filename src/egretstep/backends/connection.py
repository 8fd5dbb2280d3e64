"""Connections to backend servers, whatever protocol they speak."""

import dataclasses
import enum
import typing

from egretstep import errors, identifiers
from egretstep.backends import answers, commands
from egretstep.settings import deployment, node

ServerId = typing.NewType('ServerId', str)


class Role(enum.Enum):
    """What a server says it is in its group."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """A server as it registered itself.

    `slots` is how many statements it runs at once.
    """

    server: ServerId
    service: deployment.ServiceName
    address: node.Address
    zone: identifiers.ZoneName
    slots: int
    role: Role
    is_draining: bool = False
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerStatus:
    """What a server says of its log.

    `received` is the newest position that it holds, applied or not.
    """

    role: Role
    term: identifiers.Term
    received: identifiers.LogPosition


class BrokenError(errors.EgretstepError):
    """The connection broke; what was sent may have run."""


class RefusedConnectionError(errors.EgretstepError):
    """The server refused the connection; `code` says why."""

    def __init__(self, *, code: answers.Code, message: str) -> None:
        super().__init__(message)
        self.code = code


class ServerConnection(typing.Protocol):
    """One connection to a server, for one workspace at a time.

    `run` sends one statement and returns its whole answer. It raises
    `BrokenError` when the answer does not come whole, after which the
    connection must be closed.
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
        """Run a statement, on a log that has at least the floor."""

    async def reset(self) -> answers.Answer:
        """Drop values and prepared statements of the session."""

    async def set_value(self, name: bytes, content: bytes) -> answers.Answer:
        """Set a session value."""

    async def prepare(self, prepared: commands.Prepared) -> answers.Answer:
        """Prepare a shape so that EXECUTE can refer to it."""

    async def status(self) -> ServerStatus:
        """Ask for role, term and log position."""

    def close(self) -> None:
        """Close at once; an open transaction is rolled back."""


class Opener(typing.Protocol):
    """Opens connections to servers."""

    async def open(
        self,
        server: BackendServer,
        workspace: identifiers.WorkspaceName,
    ) -> ServerConnection:
        """Open a connection under the name of a workspace.

        Raises `RefusedConnectionError` or `BrokenError`; nothing has run.
        """
