"""Choice of a primary and of a term, from what the servers say."""

import typing

from egretstep import identifiers
from egretstep.storage import interfaces


def next_term(
    statuses: typing.Iterable[interfaces.ServerStatus],
) -> identifiers.Term:
    """Return a term above all that the servers have promised."""
    promised = [status.promised_term for status in statuses]
    return identifiers.Term(max(promised, default=0) + 1)


def choose_primary(
    *,
    fenced: typing.Sequence[interfaces.ServerStatus],
    group_size: int,
    preferred: typing.Collection[identifiers.ServerName] = (),
) -> interfaces.ServerStatus | None:
    """Return the server to promote, or none without a majority.

    Every acknowledged write is on a majority, so that the furthest server
    of any majority has it. Among servers that are equally far, preferred
    ones go first, and then the one that is primary already.
    """
    if len(fenced) <= group_size // 2:
        return None
    return max(
        fenced,
        key=lambda status: (
            status.received,
            status.server in preferred,
            status.primary,
            status.server,
        ),
    )
