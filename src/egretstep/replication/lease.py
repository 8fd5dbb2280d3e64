"""Lease on a term, held while a majority of the servers confirm it.

Each confirmation counts from the moment before it was asked for. A later
owner that has fenced a majority shares at least one server with every
majority that confirmed the older term, so that the older lease has run out
once `LEASE_SECONDS` have passed since that fence.
"""

import typing

from egretstep import clock, identifiers

LEASE_SECONDS = 0.7


class MajorityLease:
    """The lease of one term, from the confirmations of its servers.

    >>> source = clock.ManualClock(start=10)
    >>> names = [identifiers.ServerName(name) for name in 'abc']
    >>> lease = MajorityLease(servers=names, time_source=source)
    >>> lease.confirm(server=names[0], asked_at=10)
    >>> lease.is_held()
    False
    >>> lease.confirm(server=names[1], asked_at=10)
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
        """Return how many servers are more than half of the group."""
        return len(self._confirmed_at) // 2 + 1

    @property
    def expires_at(self) -> float:
        """Return the monotonic time at which the lease runs out."""
        return self._expires_at

    def confirm(
        self,
        *,
        server: identifiers.ServerName,
        asked_at: float,
    ) -> None:
        """Note that a server confirmed the term when asked at a time."""
        latest = max(self._confirmed_at[server], asked_at)
        self._confirmed_at[server] = latest
        newest_first = sorted(self._confirmed_at.values(), reverse=True)
        self._expires_at = newest_first[self.majority - 1] + LEASE_SECONDS

    def release(self) -> None:
        """Give the lease up for good."""
        self._released = True

    def is_held(self) -> bool:
        """Tell whether an answer may go out now."""
        return not self._released and self._clock.now() < self._expires_at
