"""One request on its way through the owner."""

import dataclasses

from egretstep.peers import messages
from egretstep.pooling import pins
from egretstep.settings import tree


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A request with what its execution needs."""

    request: messages.StatementRequest
    effective: tree.EffectiveSettings
    deadline: float
    pin_key: pins.PinKey
