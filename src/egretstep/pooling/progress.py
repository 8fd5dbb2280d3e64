"""How far a statement or transaction has come on its server connection."""

import dataclasses

from egretstep import identifiers
from egretstep.pooling import work as work_module
from egretstep.pooling import workspace_connections

PinKey = tuple[work_module.LinkId, identifiers.PinId]
Held = workspace_connections.SessionConnection


@dataclasses.dataclass(slots=True, kw_only=True)
class Pin:
    """A connection with the open transaction of one caller."""

    held: Held
    is_read_only: bool
    used_at: float
    is_busy: bool = False
    has_written: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """How far a statement came before an error."""

    held: Held | None = None
    was_sent: bool = False
