"""Limits of what clients can make this host hold: bytes and connections.

Load pattern: clients outside our control send many large messages at once,
stop halfway, do not read their answers, or open connections without end. The
memory and the descriptors of the process stay within its limits, and small
messages are served meanwhile.
"""

import dataclasses
import typing

from egretstep import clock
from egretstep.settings import node

KIB = 1024
MIB = 1024 * KIB
# Files, and descriptors that only the platform's agent counts.
FILE_DESCRIPTORS = 200
# Connections that are accepted before the first of them is counted.
ACCEPT_BATCH = 32
# One in this many of the other descriptors is for links to hosts, backend
# servers and the store.
LINK_DIVISOR = 4
MIN_CONNECTIONS = 16
# The rest of the memory is for the program and the answers of servers.
CONNECTIONS_SHARE = 0.3
BUFFERS_SHARE = 0.2
# A message up to this size is never refused for want of memory; it is part
# of `CONNECTION_BYTES`.
SMALL_MESSAGE_BYTES = 4 * KIB
# Objects of a connection, what is read ahead, and its small values.
CONNECTION_BYTES = 7 * SMALL_MESSAGE_BYTES
# A large message exists up to this many times while its statement runs: as
# read, its argument, as sent to a server or host, and in the send buffer.
MESSAGE_COPIES = 5
MIN_BUFFERED_BYTES = 2 * MIB
SESSION_VALUES_DIVISOR = 4
# Under pressure, a connection that has kept the host waiting for longer than
# this is closed in favour of another one. 1 MiB takes 0.8 s at 10 Mbit/s.
EVICTION_WAIT_SECONDS = 2.0
# An unread answer may exceed the budget for this long, so that a client that
# reads at once keeps its connection while many get large answers.
ANSWER_EVICTION_WAIT_SECONDS = 0.25
# A client may take this long for a message or an answer while there is room.
TRANSFER_SECONDS = 30.0
RETRY_AFTER_MS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """Limits of one process.

    `buffered_bytes` bounds the large messages and unread answers of all
    clients, and `session_bytes` the values and prepared statements of all
    sessions beyond `SMALL_MESSAGE_BYTES` of each.
    """

    max_connections: int
    buffered_bytes: int
    session_bytes: int


def derive(*, memory_mb: float, max_fds: int) -> ClientLimits:
    """Return the limits for a process's memory and number of descriptors.

    >>> derive(memory_mb=200, max_fds=4300).max_connections
    2194
    >>> derive(memory_mb=552, max_fds=1024).max_connections
    586
    """
    memory = memory_mb * MIB
    sockets = max_fds - FILE_DESCRIPTORS
    by_descriptors = sockets - sockets // LINK_DIVISOR - ACCEPT_BATCH
    by_memory = int(memory * CONNECTIONS_SHARE) // CONNECTION_BYTES
    buffered = int(memory * BUFFERS_SHARE) // MESSAGE_COPIES
    return ClientLimits(
        max_connections=max(MIN_CONNECTIONS, min(by_descriptors, by_memory)),
        buffered_bytes=max(MIN_BUFFERED_BYTES, buffered),
        session_bytes=max(MIN_BUFFERED_BYTES, buffered)
        // SESSION_VALUES_DIVISOR,
    )


def of_process(settings: node.NodeSettings) -> ClientLimits:
    """Return the limits for the settings of this process."""
    return derive(memory_mb=settings.memory_mb, max_fds=settings.max_fds)


class Account:
    """What one connection holds of a budget, and since when it is awaited.

    `waiting_since` is the time at which the first byte of a message arrived
    or an answer was not taken at once, in seconds of the budget's clock; None
    while the host does not wait for the client. `has_unread_answer` tells
    which of the two it is. `evict` closes the connection; it is called at
    most once, after the bytes were released.
    """

    def __init__(
        self,
        *,
        budget: 'ByteBudget',
        evict: typing.Callable[[], None],
    ) -> None:
        self._budget = budget
        self.evict = evict
        self.held_bytes = 0
        self.waiting_since: float | None = None
        self.has_unread_answer = False

    @property
    def is_overdue(self) -> bool:
        """Tell whether the client has taken too long for a transfer."""
        return self._budget.seconds_waited(self) > TRANSFER_SECONDS

    def start_waiting(self) -> None:
        """Record that the host waits for the client from now on."""
        self.waiting_since = self._budget.now()

    def charge(self, amount: int) -> bool:
        """Charge bytes; returns False if there is no room for them.

        Room is made by closing connections that the host waited for too long.
        """
        return self._budget.charge(self, amount)

    def charge_answer(self, amount: int) -> None:
        """Charge an answer that exists already and is not taken at once.

        Room is made by closing the connections whose answers wait longest, if
        they wait too long; the answer is charged even if there is no room.
        """
        self.has_unread_answer = True
        self._budget.charge_answer(self, amount)

    def release(self) -> None:
        """Release all bytes; the host does not wait for the client."""
        self.waiting_since = None
        self.has_unread_answer = False
        self._budget.release(self)


class ByteBudget:
    """Bytes that are shared by all clients and by other hosts' statements."""

    def __init__(self, *, total_bytes: int, time_source: clock.Clock) -> None:
        self._total = total_bytes
        self._clock = time_source
        self._held = 0
        self._holders: set[Account] = set()

    @property
    def held_bytes(self) -> int:
        """Return how many bytes are charged."""
        return self._held

    def open(self, evict: typing.Callable[[], None]) -> Account:
        """Return an account that holds nothing."""
        return Account(budget=self, evict=evict)

    def now(self) -> float:
        """Return the time of the budget's clock in seconds."""
        return self._clock.now()

    def seconds_waited(self, account: Account) -> float:
        """Return for how many seconds the host has waited for a client."""
        if account.waiting_since is None:
            return 0
        return self._clock.now() - account.waiting_since

    def charge(self, account: Account, amount: int) -> bool:
        """Charge bytes to an account; returns False if there is no room."""
        while self._held + amount > self._total:
            holder = self._longest_waited_for(account, self._holders)
            if (
                holder is None
                or self.seconds_waited(holder) < EVICTION_WAIT_SECONDS
            ):
                return False
            self._evict(holder)
        self._add(account, amount)
        return True

    def charge_answer(self, account: Account, amount: int) -> None:
        """Charge an answer, evicting other unread answers if need be."""
        while self._held + amount > self._total:
            unread = [each for each in self._holders if each.has_unread_answer]
            holder = self._longest_waited_for(account, unread)
            if (
                holder is None
                or self.seconds_waited(holder) < ANSWER_EVICTION_WAIT_SECONDS
            ):
                break
            self._evict(holder)
        self._add(account, amount)

    def release(self, account: Account) -> None:
        """Release all bytes of an account."""
        if account.held_bytes:
            self._held -= account.held_bytes
            account.held_bytes = 0
            self._holders.discard(account)

    def _add(self, account: Account, amount: int) -> None:
        self._held += amount
        account.held_bytes += amount
        self._holders.add(account)

    def _evict(self, holder: Account) -> None:
        holder.release()
        holder.evict()

    def _longest_waited_for(
        self,
        asking: Account,
        holders: typing.Iterable[Account],
    ) -> Account | None:
        others = (
            each
            for each in holders
            if each is not asking and each.waiting_since is not None
        )
        return max(others, key=self.seconds_waited, default=None)


class Connection(typing.Protocol):
    """A client connection that can be closed."""

    def refuse(self) -> None:
        """Tell the client that the host is busy, and close the connection."""


class ConnectionCap:
    """Bounds the client connections of this host.

    At the cap, the connection that has been open longest without a session
    is closed in favour of a new one. Without such a connection, the new one
    is refused, since a session may stay idle as long as it likes.
    """

    def __init__(self, *, max_connections: int) -> None:
        self._max = max_connections
        self._open: set[Connection] = set()
        self._without_session: dict[Connection, None] = {}

    def admit(self, connection: Connection) -> bool:
        """Add a new connection; returns False if it must be refused."""
        if len(self._open) >= self._max:
            oldest = next(iter(self._without_session), None)
            if oldest is None:
                return False
            self.remove(oldest)
            oldest.refuse()
        self._open.add(connection)
        self._without_session[connection] = None
        return True

    def record_session(self, connection: Connection) -> None:
        """Record that a connection has a session from now on."""
        self._without_session.pop(connection, None)

    def remove(self, connection: Connection) -> None:
        """Remove a connection that is closed; it may be removed already."""
        self._open.discard(connection)
        self._without_session.pop(connection, None)
