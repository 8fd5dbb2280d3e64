"""Latest known load of each backend server, as answers brought it.

Load pattern: each host sees only its own answers, so that its load data of a
server is up to seconds old, while many hosts send reads to that server. What
this host has sent there since the data arrived therefore counts as well.
"""

import dataclasses
import itertools
import typing

from egretstep import clock
from egretstep.backends import connection, server_load

# Load data older than this says nothing about a server's queue.
MAX_AGE_SECONDS = 3.0
# The mean service time changes more slowly than the queue does.
MAX_SERVICE_TIME_AGE_SECONDS = 15.0
MAX_SERVERS = 20_000
SentId = typing.NewType('SentId', int)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load data of one server; `age` is the seconds since its arrival."""

    load: server_load.ServerLoad
    age: float

    @property
    def is_current(self) -> bool:
        """Tell whether the data still describes the server's queue."""
        return self.age <= MAX_AGE_SECONDS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Arrived:
    load: server_load.ServerLoad
    arrived_at: float


class ServerLoads:
    """Keeps the load data of servers and the own unanswered statements.

    >>> time_source = clock.ManualClock()
    >>> loads = ServerLoads(time_source=time_source)
    >>> sent_id = loads.record_sent(connection.ServerId('s1'))
    >>> loads.unanswered_count(connection.ServerId('s1'))
    1
    >>> loads.record_answered(connection.ServerId('s1'), sent_id)
    >>> loads.unanswered_count(connection.ServerId('s1'))
    0
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._arrived: dict[connection.ServerId, _Arrived] = {}
        # Statements sent since the latest load data arrived.
        self._unanswered: dict[connection.ServerId, set[SentId]] = {}
        self._sent_ids = itertools.count(1)

    def record(self, load: server_load.ServerLoad) -> None:
        """Replace the load data of the server that it names.

        The data that arrived earliest is dropped above `MAX_SERVERS`.
        """
        server = connection.ServerId(load.server)
        self._unanswered.pop(server, None)
        self._arrived.pop(server, None)
        self._arrived[server] = _Arrived(
            load=load, arrived_at=self._clock.now()
        )
        if len(self._arrived) > MAX_SERVERS:
            self._arrived.pop(next(iter(self._arrived)))

    def record_sent(self, server: connection.ServerId) -> SentId:
        """Record that a statement is sent; return a number for its answer."""
        sent_id = SentId(next(self._sent_ids))
        self._unanswered.setdefault(server, set()).add(sent_id)
        return sent_id

    def record_answered(
        self,
        server: connection.ServerId,
        sent_id: SentId,
    ) -> None:
        """Record that a statement was answered, or that its answer is lost."""
        unanswered = self._unanswered.get(server)
        if unanswered is None:
            return
        unanswered.discard(sent_id)
        if not unanswered:
            self._unanswered.pop(server)

    def report(self, server: connection.ServerId) -> LoadReport | None:
        """Return the latest load data; None if it is of no use any more."""
        arrived = self._arrived.get(server)
        if arrived is None:
            return None
        age = self._clock.now() - arrived.arrived_at
        if age > MAX_SERVICE_TIME_AGE_SECONDS:
            return None
        return LoadReport(load=arrived.load, age=age)

    def unanswered_count(self, server: connection.ServerId) -> int:
        """Return how many unanswered statements the load data can't show.

        They were sent since it arrived.
        """
        return len(self._unanswered.get(server, ()))
