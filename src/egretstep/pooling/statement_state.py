"""The state of statements and transactions on their server connections."""

import dataclasses

from egretstep import identifiers
from egretstep.pooling import work as work_module
from egretstep.pooling import workspace_connections

PinKey = tuple[work_module.LinkId, identifiers.PinId]
SessionConnection = workspace_connections.SessionConnection


@dataclasses.dataclass(slots=True, kw_only=True)
class Pin:
    """A connection that holds the open transaction of one caller.

    `used_at` is the monotonic time at which the latest statement ended.
    """

    session_connection: SessionConnection
    is_read_only: bool
    used_at: float
    is_busy: bool = False
    has_written: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """The progress of one statement, for the answer after an error.

    `has_written` tells whether its transaction has written before.
    """

    session_connection: SessionConnection | None = None
    has_written: bool = False
    was_sent: bool = False
