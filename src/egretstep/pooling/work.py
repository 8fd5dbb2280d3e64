"""One statement on its way to the host that runs it."""

import dataclasses
import enum
import typing

from egretstep import identifiers
from egretstep.backends import commands, connection
from egretstep.settings import deployment


class Opens(enum.Enum):
    """Which transaction must be open before the statement runs."""

    NOTHING = 0
    TRANSACTION = 1
    READ_TRANSACTION = 2


SessionValues = tuple[tuple[bytes, bytes], ...]
LinkId = typing.NewType('LinkId', int)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """A statement with what its execution needs.

    `server` is the replica to read from; empty means the primary. `floor`
    is the position that the session has seen, and `max_staleness` how many
    seconds old the data may be; none where every commit must be seen. A
    pinned statement runs on the connection that `pin_id` already holds.
    `timeout` is in seconds.
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

    @property
    def is_read_only(self) -> bool:
        """Tell whether the statement can't change anything by itself."""
        if self.opens is Opens.READ_TRANSACTION:
            return True
        is_read = self.command.action in {
            commands.Action.READ,
            commands.Action.EXECUTE,
        }
        return is_read and not self.command.is_write
