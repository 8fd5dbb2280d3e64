"""Answers to statements, with what is known of the statement's effect."""

import dataclasses
import enum

from egretstep import identifiers
from egretstep.backends import server_load


class Code(enum.Enum):
    """Result code of a statement, independent of the protocol.

    The codes in `NO_EFFECT_CODES` guarantee that the attempt had no effect.
    Hosts answer MOVED to each other: another host serves the request now, or
    is about to.
    """

    OK = 'ok'
    OVERLOADED = 'overloaded'
    MOVED = 'moved'
    ABORTED = 'aborted'
    BEHIND = 'behind'
    NOT_PRIMARY = 'not-primary'
    WRONG_SERVER = 'wrong-server'
    TOO_MANY_CONNECTIONS = 'too-many-connections'
    NO_PREPARED = 'no-prepared'
    FAILED = 'failed'
    TIMED_OUT = 'timed-out'
    UNKNOWN_OUTCOME = 'unknown-outcome'
    MALFORMED = 'malformed'
    ACCESS_DENIED = 'access-denied'
    NO_DATABASE = 'no-database'


NO_EFFECT_CODES = frozenset((
    Code.OVERLOADED,
    Code.MOVED,
    Code.ABORTED,
    Code.BEHIND,
    Code.NOT_PRIMARY,
    Code.WRONG_SERVER,
    Code.TOO_MANY_CONNECTIONS,
    Code.NO_PREPARED,
))


class TransactionState(enum.Enum):
    """State of a session: outside, inside, or in a failed transaction."""

    OUTSIDE = 0
    INSIDE = 1
    FAILED = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """The complete answer to one statement.

    `proof` is the server's evidence that it ran the statement; it is empty if
    the proxy answered. `position` is the log position that the server
    reported. `message` explains a code other than OK, and `retry_after_ms` is
    zero if the caller may retry at once. `is_pinned` tells whether the server
    connection is still reserved for the caller, and `was_sent` whether the
    statement was sent to a server. `queued_ms` is the time spent waiting for a
    slot of the server, and `ran_ms` the time that the server took. `load` is
    that of the server for which the statement was meant, None if not known.
    """

    code: Code = Code.OK
    message: str = ''
    rows: tuple[bytes, ...] = ()
    proof: bytes = b''
    state: TransactionState = TransactionState.OUTSIDE
    position: identifiers.LogPosition | None = None
    retry_after_ms: int = 0
    is_pinned: bool = False
    was_sent: bool = False
    queued_ms: int = 0
    ran_ms: int = 0
    load: server_load.ServerLoad | None = None

    @property
    def is_ok(self) -> bool:
        """Tell whether the statement succeeded."""
        return self.code is Code.OK

    @property
    def has_no_effect(self) -> bool:
        """Tell whether the statement is guaranteed to have had no effect."""
        return self.code in NO_EFFECT_CODES


def refusal(
    code: Code,
    message: str,
    *,
    retry_after_ms: int = 0,
) -> Answer:
    """Return an answer that the proxy gives without asking a server."""
    return Answer(code=code, message=message, retry_after_ms=retry_after_ms)
