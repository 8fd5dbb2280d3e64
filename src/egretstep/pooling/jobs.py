"""A request with the settings that apply to it at the owner."""

import dataclasses

from egretstep.peers import messages
from egretstep.pooling import pins
from egretstep.settings import tree


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A request and what its execution needs.

    `effective` are the settings that apply to its workspace, database and
    zone. `deadline` is a monotonic time.
    """

    request: messages.StatementRequest
    effective: tree.EffectiveSettings
    deadline: float
    pin_key: pins.PinKey
