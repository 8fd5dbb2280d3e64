"""The time in which an owner uses one server as the primary."""

import dataclasses
import enum

from egretstep import identifiers
from egretstep.backends import connection
from egretstep.pooling import work as work_module


class Phase(enum.Enum):
    """What a primary may still be used for.

    In `READ_ONLY`, another server may be about to lead, but takes no writes
    yet: a read still sees every acknowledged commit. In `ENDED`, another
    server may take writes already.
    """

    SERVING = 'serving'
    READ_ONLY = 'read-only'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True, kw_only=True)
class Leadership:
    """A server that this owner uses as the primary in a term, and its phase.

    `was_refused` is set once the server answers that it is not the primary.
    Statements keep the leadership in which they began, so that their answers are
    judged by what has become of it meanwhile.
    """

    server: connection.BackendServer
    term: identifiers.Term
    phase: Phase = Phase.SERVING
    was_refused: bool = False

    def permits(self, work: work_module.Work) -> bool:
        """Return whether the answer to a statement may be used."""
        if self.phase is Phase.READ_ONLY:
            return is_plain_read(work)
        return self.phase is Phase.SERVING


def is_plain_read(work: work_module.Work) -> bool:
    """Return whether a statement is a read outside any transaction."""
    is_outside = work.opens is work_module.Opens.NOTHING and not work.is_pinned
    return is_outside and work.is_read_only
