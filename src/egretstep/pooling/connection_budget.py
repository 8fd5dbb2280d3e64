"""Decides how many connections to one server this host may hold.

Load pattern: a host that holds many connections to a server loses power. The
server keeps the dead connections for seconds, and its limit then refuses the
connections of the host that takes over. Idle connections are therefore kept
only up to a share of the limit. A host whose connection was refused goes on
with the open ones and probes with one more every `PROBE_INTERVAL_SECONDS`. Each
success raises the allowance to twice the open connections, so that the full
limit is reached soon after the server has room.
"""

from egretstep import clock

RESERVED_CONTROL_CONNECTIONS = 2
MIN_LIMIT = 2
IDLE_SHARE = 0.5
PROBE_INTERVAL_SECONDS = 0.1


class ConnectionBudget:
    """Adapts the limit of connections to one server to its refusals.

    >>> budget = ConnectionBudget(limit=12, time_source=clock.ManualClock())
    >>> budget.may_open(9), budget.may_open(10)
    (True, False)
    >>> budget.record_refused(4)
    >>> budget.may_open(4)
    False
    """

    def __init__(self, *, limit: int, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._maximum = max(MIN_LIMIT, limit - RESERVED_CONTROL_CONNECTIONS)
        self._idle_limit = max(MIN_LIMIT, int(limit * IDLE_SHARE))
        self._allowed = self._maximum
        self._probed_at = 0.0

    def may_open(self, open_count: int) -> bool:
        """Tell whether one more connection may be opened.

        At a limit that a refusal lowered, this allows one probe per
        `PROBE_INTERVAL_SECONDS`.
        """
        if open_count < self._allowed:
            return True
        is_reduced = self._allowed < self._maximum
        now = self._clock.now()
        if not is_reduced or now - self._probed_at < PROBE_INTERVAL_SECONDS:
            return False
        self._probed_at = now
        return True

    def may_keep_idle(self, open_count: int) -> bool:
        """Tell whether idle connections may stay open at this open count."""
        return open_count <= min(self._idle_limit, self._allowed)

    def record_refused(self, open_count: int) -> None:
        """Record that the server refused another connection.

        `open_count` is the number of connections that were open then.
        """
        self._allowed = max(1, open_count)
        self._probed_at = self._clock.now()

    def record_opened(self, open_count: int) -> None:
        """Record that the server accepted a connection."""
        if self._allowed < self._maximum:
            self._allowed = min(self._maximum, 2 * open_count)
