"""Decides which idle transaction makes room for a waiting statement.

Load pattern: a workspace opens about a hundred transactions at one server and
sends nothing in them for seconds. They hold all connections, and the
statements of the other workspaces find none left.
"""

import dataclasses
import typing

from egretstep import identifiers

MIN_SHARE = 2
MIN_IDLE_SECONDS = 0.25

Key = typing.TypeVar('Key')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IdleTransaction(typing.Generic[Key]):
    """An open transaction that runs no statement.

    `idle_since` is the monotonic time at which its latest statement ended.
    """

    key: Key
    workspace: identifiers.WorkspaceName
    idle_since: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Holdings:
    """The connections to a server, by the workspace that holds them.

    `limit` is the number of connections that the server allows. `held` counts
    idle, busy and pinned ones. A workspace is active if it holds a connection
    or waits for one.

    >>> depot = identifiers.WorkspaceName('depot')
    >>> nurses = identifiers.WorkspaceName('nurses')
    >>> holdings = Holdings(
    ...     limit=6, held={depot: 5}, active=frozenset((depot, nurses))
    ... )
    >>> holdings.share, holdings.excess(depot), holdings.excess(nurses)
    (3.0, 2.0, -3.0)
    """

    limit: int
    held: typing.Mapping[identifiers.WorkspaceName, int]
    active: frozenset[identifiers.WorkspaceName]

    @property
    def share(self) -> float:
        """Return how many connections each active workspace may hold."""
        return max(float(MIN_SHARE), self.limit / max(1, len(self.active)))

    def excess(self, workspace: identifiers.WorkspaceName) -> float:
        """Return the connections that a workspace holds beyond its share."""
        return self.held.get(workspace, 0) - self.share


def choose(
    transactions: typing.Iterable[IdleTransaction[Key]],
    holdings: Holdings,
    *,
    now: float,
) -> IdleTransaction[Key] | None:
    """Return the transaction to roll back, or None.

    It is the one that has been idle longest, and for `MIN_IDLE_SECONDS`, of
    the workspace that holds the most connections beyond its share.
    """
    candidates = [
        each
        for each in transactions
        if now - each.idle_since >= MIN_IDLE_SECONDS
        and holdings.excess(each.workspace) > 0
    ]
    return min(
        candidates,
        key=lambda each: (-holdings.excess(each.workspace), each.idle_since),
        default=None,
    )
