"""A statement in the form in which hosts send it to each other."""

import dataclasses
import enum
import typing

from egretstep import identifiers
from egretstep.backends import commands, connection
from egretstep.settings import deployment


class Opens(enum.Enum):
    """The transaction that is opened before the statement runs, if any."""

    NOTHING = 0
    TRANSACTION = 1
    READ_TRANSACTION = 2


SessionValues = tuple[tuple[bytes, bytes], ...]
LinkId = typing.NewType('LinkId', int)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """A statement and what its execution needs.

    `server` is the replica to read from; empty means the primary. `floor`
    is the position that the session has seen. `max_staleness` is the
    permitted age of the data in seconds; None means that every commit must
    be visible. A pinned statement runs on the connection that is already
    pinned to `pin_id`. `timeout` is in seconds. `target` is what is left of
    the operation's target latency, in seconds; zero or less means that it is
    missed already, None that there is none.
    """

    statement_id: bytes
    command: commands.Command
    workspace: identifiers.WorkspaceName
    service: deployment.ServiceName
    timeout: float
    server: connection.ServerId = connection.ServerId('')
    values: SessionValues = ()
    floor: identifiers.LogPosition = identifiers.LOG_START
    max_staleness: float | None = None
    pin_id: identifiers.PinId = identifiers.PinId(0)
    opens: Opens = Opens.NOTHING
    is_pinned: bool = False
    priority: int = 1
    target: float | None = None

    @property
    def is_read_only(self) -> bool:
        """Tell whether the statement itself changes no data."""
        if self.opens is Opens.READ_TRANSACTION:
            return True
        is_read = self.command.action in {
            commands.Action.READ,
            commands.Action.EXECUTE,
        }
        return is_read and not self.command.is_write
