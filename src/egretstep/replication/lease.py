"""Lease on a term, held while a majority of the servers confirm it.

Each confirmation counts from a clock reading taken just before its request
was sent. Any two majorities share a server, so after a later owner has fenced
a majority, no majority confirms the older term any more, and the older lease
expires within `LEASE_SECONDS` of the fencing.
"""

import typing

from egretstep import clock, identifiers

LEASE_SECONDS = 0.7


class MajorityLease:
    """The lease of one term, renewed by confirmations of the servers.

    All times are monotonic, in seconds.

    >>> source = clock.ManualClock(start=10)
    >>> names = [identifiers.ServerName(name) for name in 'abc']
    >>> lease = MajorityLease(servers=names, time_source=source)
    >>> lease.confirm(server=names[0], sent_at=10)
    >>> lease.is_held()
    False
    >>> lease.confirm(server=names[1], sent_at=10)
    >>> lease.is_held()
    True
    """

    def __init__(
        self,
        *,
        servers: typing.Collection[identifiers.ServerName],
        time_source: clock.Clock,
    ) -> None:
        self._confirmed_at = dict.fromkeys(servers, float('-inf'))
        self._clock = time_source
        self._expires_at = float('-inf')
        self._released = False

    @property
    def majority(self) -> int:
        """Return the number of servers that make a majority of the group."""
        return len(self._confirmed_at) // 2 + 1

    @property
    def expires_at(self) -> float:
        """Return the time at which the lease expires, unless it is renewed."""
        return self._expires_at

    def confirm(
        self,
        *,
        server: identifiers.ServerName,
        sent_at: float,
    ) -> None:
        """Record that a server confirmed the term.

        `sent_at` is a clock reading taken just before the request was sent.
        """
        latest = max(self._confirmed_at[server], sent_at)
        self._confirmed_at[server] = latest
        newest_first = sorted(self._confirmed_at.values(), reverse=True)
        self._expires_at = newest_first[self.majority - 1] + LEASE_SECONDS

    def release(self) -> None:
        """Give up the lease; later confirmations do not renew it."""
        self._released = True

    def is_held(self) -> bool:
        """Return whether the lease holds, so that answers may be sent."""
        return not self._released and self._clock.now() < self._expires_at
