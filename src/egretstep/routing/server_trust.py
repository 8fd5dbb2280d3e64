"""Decides which servers get only probe statements because they fail too often.

Load pattern: a server fails a third to a half of its statements, goes down
and up each second, or loses its links, while it reports good health itself.
The evidence is the failure share that its broker measures for all hosts and
the statements whose answers this host has lost. A server that fails again
soon after it was trusted is held back for longer each time.
"""

import dataclasses

import logbook

from egretstep import clock
from egretstep.backends import connection
from egretstep.observability import metrics

DISTRUST_SHARE = 0.2
TRUST_SHARE = 0.05
# Load data with a bad share that must arrive in a row before it counts. The
# broker's share may rest on a single statement when it has just started.
MIN_BAD_REPORTS = 2
# Three answers lost within about a second.
MIN_LOST_COUNT = 2.4
EVIDENCE_HALF_LIFE_SECONDS = 2.0
PROBE_INTERVAL_SECONDS = 0.5
GOOD_PROBES = 3
MIN_HOLD_SECONDS = 0.5
MAX_HOLD_SECONDS = 5.0
RELAPSE_SECONDS = 10.0
MAX_SERVERS = 20_000
_logger = logbook.Logger('placement')


@dataclasses.dataclass(kw_only=True, slots=True)
class _Record:
    """What this host knows of the failures of one server.

    `lost` and `answered` are counts that decay. Times are monotonic seconds.
    """

    lost: float = 0
    answered: float = 0
    counted_at: float = 0
    share: float = 0
    bad_reports: int = 0
    good_probes: int = 0
    is_distrusted: bool = False
    hold: float = MIN_HOLD_SECONDS
    held_until: float = 0
    next_probe_at: float = 0
    trusted_at: float | None = None

    def decay(self, now: float) -> None:
        """Let the counts decay to the present."""
        elapsed = now - self.counted_at
        factor = 0.5 ** (elapsed / EVIDENCE_HALF_LIFE_SECONDS)
        self.lost *= factor
        self.answered *= factor
        self.counted_at = now

    @property
    def has_many_losses(self) -> bool:
        """Tell whether enough of this host's statements were lost."""
        if self.lost < MIN_LOST_COUNT:
            return False
        return self.lost >= DISTRUST_SHARE * (self.lost + self.answered)


class ServerTrust:
    """Tells which servers are trusted, and when the others may be probed.

    >>> time_source = clock.ManualClock()
    >>> trust = ServerTrust(time_source=time_source)
    >>> server = connection.ServerId('s1')
    >>> trust.record_report(server, 0.4)
    >>> trust.record_report(server, 0.4)
    >>> trust.is_trusted(server)
    False
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._records: dict[connection.ServerId, _Record] = {}

    def is_trusted(self, server: connection.ServerId) -> bool:
        """Tell whether a server gets statements without restriction."""
        record = self._records.get(server)
        return record is None or not record.is_distrusted

    def is_probe_due(self, server: connection.ServerId) -> bool:
        """Tell whether a server that isn't trusted may get one statement."""
        record = self._records.get(server)
        if record is None or not record.is_distrusted:
            return False
        return self._clock.now() >= record.next_probe_at

    def record_probe_sent(self, server: connection.ServerId) -> None:
        """Record that a probe statement is sent to a server."""
        record = self._record(server)
        record.next_probe_at = self._clock.now() + PROBE_INTERVAL_SECONDS

    def record_probe_answer(
        self,
        server: connection.ServerId,
        *,
        is_good: bool,
    ) -> None:
        """Record whether a server answered a probe statement well.

        A bad answer is a relapse.
        """
        record = self._record(server)
        if not record.is_distrusted:
            return
        if not is_good:
            self._hold(record, min(record.hold * 2, MAX_HOLD_SECONDS))
            return
        record.good_probes += 1
        has_good_share = record.share < DISTRUST_SHARE
        if record.good_probes >= GOOD_PROBES and has_good_share:
            self._trust(server, record, 'good probes')

    def record_report(
        self,
        server: connection.ServerId,
        failure_share: float,
    ) -> None:
        """Record the failure share in load data that has just arrived."""
        record = self._records.get(server)
        if record is None and failure_share < DISTRUST_SHARE:
            return
        record = self._record(server)
        record.share = failure_share
        is_bad = failure_share >= DISTRUST_SHARE
        record.bad_reports = record.bad_reports + 1 if is_bad else 0
        if not record.is_distrusted:
            if record.bad_reports >= MIN_BAD_REPORTS:
                self._distrust(server, record, 'failure share')
            return
        is_hold_over = self._clock.now() >= record.held_until
        if failure_share < TRUST_SHARE and is_hold_over:
            self._trust(server, record, 'failure share')

    def record_lost(self, server: connection.ServerId) -> None:
        """Record that this host got no answer from a server's broker."""
        record = self._record(server)
        record.lost += 1
        if record.has_many_losses and not record.is_distrusted:
            self._distrust(server, record, 'lost answers')

    def record_answered(self, server: connection.ServerId) -> None:
        """Record that this host got an answer from a server's broker."""
        record = self._records.get(server)
        if record is not None:
            record.decay(self._clock.now())
            record.answered += 1

    def _record(self, server: connection.ServerId) -> _Record:
        now = self._clock.now()
        record = self._records.get(server)
        if record is None:
            record = _Record(counted_at=now)
            self._records[server] = record
            if len(self._records) > MAX_SERVERS:
                self._records.pop(next(iter(self._records)))
        record.decay(now)
        return record

    def _distrust(
        self,
        server: connection.ServerId,
        record: _Record,
        reason: str,
    ) -> None:
        record.is_distrusted = True
        self._hold(record, self._next_hold(record))
        metrics.server_trust_changes.inc('distrusted', reason)
        self._log_change('server is distrusted', server, record, reason)

    def _trust(
        self,
        server: connection.ServerId,
        record: _Record,
        reason: str,
    ) -> None:
        record.is_distrusted = False
        record.trusted_at = self._clock.now()
        record.lost = 0
        record.bad_reports = 0
        metrics.server_trust_changes.inc('trusted', reason)
        self._log_change('server is trusted again', server, record, reason)

    def _next_hold(self, record: _Record) -> float:
        if record.trusted_at is None:
            return MIN_HOLD_SECONDS
        if self._clock.now() - record.trusted_at > RELAPSE_SECONDS:
            return MIN_HOLD_SECONDS
        return min(record.hold * 2, MAX_HOLD_SECONDS)

    def _hold(self, record: _Record, seconds: float) -> None:
        record.hold = seconds
        record.good_probes = 0
        record.held_until = self._clock.now() + seconds
        record.next_probe_at = record.held_until

    def _log_change(
        self,
        event: str,
        server: connection.ServerId,
        record: _Record,
        reason: str,
    ) -> None:
        _logger.info(
            event,
            extra={
                'server': server,
                'reason': reason,
                'failure_share': round(record.share, 3),
                'lost': round(record.lost, 1),
                'answered': round(record.answered, 1),
                'hold_s': record.hold,
            },
        )
