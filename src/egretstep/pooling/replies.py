"""Converts the results of servers to answers for entries."""

from egretstep import identifiers
from egretstep.backends import mysql as database
from egretstep.peers import messages
from egretstep.pooling import pins


def make_answer(
    *,
    request_id: identifiers.RequestId,
    done: database.StatementResult,
    pin: pins.Pin | None,
    server: identifiers.ServerName,
    is_primary: bool,
) -> messages.Answer:
    """Return the answer for a statement that a server has run.

    `pin` is the connection that is pinned to the caller after the statement,
    if any.
    """
    return messages.Answer(
        request_id=request_id,
        outcome=identifiers.Outcome.DONE,
        affected_rows=done.affected_rows,
        insert_id=done.insert_id,
        columns=done.columns,
        rows=done.rows,
        pinned=pin is not None and pin.is_needed,
        in_transaction=done.in_transaction,
        position=read_position(done.information),
        server=server,
        primary=is_primary,
    )


def read_position(information: bytes) -> identifiers.LogPosition:
    """Return the log position of a commit, or the log's start without one.

    `information` is the text that the server returned with its result.

    >>> read_position(b'3:17')
    LogPosition(term=3, offset=17)
    """
    term, found, index = information.partition(b':')
    if not found or not term.isdigit() or not index.isdigit():
        return identifiers.LOG_START
    return identifiers.LogPosition(term=int(term), offset=int(index))
