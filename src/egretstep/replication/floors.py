"""Log positions that give each session read-your-writes consistency.

A connection carries the position of its own writes. A session id may be
shared by several connections; its position is kept here, for a bounded
number of sessions. An unknown session, which was evicted or which wrote
through another owner, gets the latest acknowledged position, which includes
all its writes.
"""

import collections

from egretstep import identifiers

MAX_SESSIONS = 100_000


class SessionFloors:
    """The lowest log position at which each session may read.

    At most `capacity` sessions are kept; the one whose position was set
    longest ago is evicted.
    """

    def __init__(self, *, capacity: int = MAX_SESSIONS) -> None:
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
        """Return the number of sessions that are kept."""
        return len(self._floors)

    def floor(
        self,
        *,
        session_id: identifiers.SessionId,
        carried: identifiers.LogPosition,
    ) -> identifiers.LogPosition:
        """Return the position that a read of a session must include.

        `carried` is the position that the caller's connection carries, and
        is the answer for an empty `session_id`.
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
        """Record a session's write; call this before answering the caller.

        An empty `session_id` only advances the latest position.
        """
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
