"""Election of the next term and primary from the servers' statuses."""

import typing

from egretstep import identifiers
from egretstep.storage import interfaces


def next_term(
    statuses: typing.Iterable[interfaces.ServerStatus],
) -> identifiers.Term:
    """Return a term higher than any that a server has promised."""
    promised = [status.promised_term for status in statuses]
    return identifiers.Term(max(promised, default=0) + 1)


def choose_primary(
    *,
    fenced: typing.Sequence[interfaces.ServerStatus],
    group_size: int,
    preferred: typing.Collection[identifiers.ServerName] = (),
) -> interfaces.ServerStatus | None:
    """Return the status of the server to promote.

    `fenced` holds the statuses of the servers that promised the new term.
    Returns None unless they are a majority of the group. Every acknowledged
    write is stored on a majority, so the server of any majority that has
    received the most of the log has all of them. Ties go to the `preferred`
    servers, then to the current primary.
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
