"""Positions that sessions must see, in bounded memory.

The caller's connection carries the position of its own writes. A session
that several connections share by a stated id has its position here. One
that is unknown, because it was evicted or came from another owner, gets
the latest acknowledged position, which is safe.
"""

import collections

from egretstep import identifiers

MAXIMUM_SESSIONS = 100_000


class SessionFloors:
    """The lowest position that a read of each session may be served at."""

    def __init__(self, *, capacity: int = MAXIMUM_SESSIONS) -> None:
        self._capacity = capacity
        self._floors: collections.OrderedDict[
            identifiers.SessionId,
            identifiers.LogPosition,
        ] = collections.OrderedDict()
        self._latest = identifiers.LOG_START

    @property
    def latest(self) -> identifiers.LogPosition:
        """Return the latest acknowledged position of the database."""
        return self._latest

    def __len__(self) -> int:
        """Return how many sessions are known."""
        return len(self._floors)

    def floor(
        self,
        *,
        session_id: identifiers.SessionId,
        carried: identifiers.LogPosition,
    ) -> identifiers.LogPosition:
        """Return the position that a read must see.

        `carried` is what the caller's connection has seen itself.
        """
        if not session_id:
            return carried
        known = self._floors.get(session_id)
        if known is None:
            known = self._latest
            self._remember(session_id, known)
        return max(known, carried)

    def acknowledge(
        self,
        *,
        session_id: identifiers.SessionId,
        position: identifiers.LogPosition,
    ) -> None:
        """Note a write of a session before its answer goes out."""
        self._latest = max(self._latest, position)
        if session_id:
            known = self._floors.get(session_id, identifiers.LOG_START)
            self._remember(session_id, max(known, position))

    def _remember(
        self,
        session_id: identifiers.SessionId,
        position: identifiers.LogPosition,
    ) -> None:
        self._floors[session_id] = position
        self._floors.move_to_end(session_id)
        while len(self._floors) > self._capacity:
            self._floors.popitem(last=False)
