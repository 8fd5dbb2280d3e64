"""Counters, gauges and histograms of a program."""

import aioprometheus

_REASON = 'reason'
LATENCY_BUCKETS_SECONDS = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
)


class BufferedCounter:
    """A counter that buffers its increments until they are published.

    An increment costs one dictionary update.
    """

    def __init__(
        self, name: str, help_text: str, labels: tuple[str, ...]
    ) -> None:
        self._counter = aioprometheus.Counter(name, help_text)
        self._labels = labels
        self._pending: dict[tuple[str, ...], int] = {}
        _buffered_counters.append(self)

    def inc(self, *values: str) -> None:
        """Increment the counter of these label values by one."""
        self._pending[values] = self._pending.get(values, 0) + 1

    def publish(self) -> None:
        """Add the buffered increments to the published counter."""
        pending = self._pending
        self._pending = {}
        for values, count in pending.items():
            self._counter.add(
                dict(zip(self._labels, values, strict=True)),
                count,
            )


_buffered_counters: list[BufferedCounter] = []

statements = BufferedCounter(
    'egretstep_statements_total',
    'Statements answered to callers, by database or workspace and outcome.',
    ('workspace', 'outcome'),
)
refusals = BufferedCounter(
    'egretstep_refusals_total',
    'Requests refused, by workspace and kind.',
    ('workspace', 'kind'),
)
reads = BufferedCounter(
    'egretstep_reads_total',
    'Reads served, by database and role of the server.',
    ('database', 'role'),
)
admission_rejections = BufferedCounter(
    'egretstep_admission_rejections_total',
    'Statements that a server queue rejected, by reason and priority level.',
    (_REASON, 'level'),
)
late_statements = BufferedCounter(
    'egretstep_late_statements_total',
    'Statements put behind others because their target is missed, by level.',
    ('level',),
)
statement_seconds = aioprometheus.Histogram(
    'egretstep_statement_seconds',
    'Time from a statement to its answer at the entry.',
    buckets=list(LATENCY_BUCKETS_SECONDS),
)
failover_seconds = aioprometheus.Histogram(
    'egretstep_failover_seconds',
    'Time from the loss of a primary to service by the next.',
    buckets=list(LATENCY_BUCKETS_SECONDS),
)
caller_connections = aioprometheus.Gauge(
    'egretstep_caller_connections',
    'Open caller connections.',
)
limited_clients = BufferedCounter(
    'egretstep_limited_clients_total',
    'Client connections that were refused or closed, by the limit they met.',
    ('limit',),
)
retries = BufferedCounter(
    'egretstep_retries_total',
    'Statements sent again, by reason.',
    (_REASON,),
)
denied_retries = BufferedCounter(
    'egretstep_denied_retries_total',
    'Internal retries denied by the retry budget, by outcome of the attempt.',
    (_REASON,),
)
placed_reads = BufferedCounter(
    'egretstep_placed_reads_total',
    'Reads that may use a replica, by role of the chosen server and reason.',
    ('role', _REASON),
)
early_rejections = BufferedCounter(
    'egretstep_early_rejections_total',
    'Statements rejected by load data before they were sent, by level.',
    ('level',),
)
server_trust_changes = BufferedCounter(
    'egretstep_server_trust_changes_total',
    'Changes of whether a server is trusted, by new state and reason.',
    ('state', _REASON),
)
settings_version = aioprometheus.Gauge(
    'egretstep_settings_version',
    'Version of the settings in force.',
)
store_era = aioprometheus.Gauge(
    'egretstep_store_era',
    'Era of the store; it grows when the store was restored from a copy.',
)
unrenewed_leases = BufferedCounter(
    'egretstep_unrenewed_leases_total',
    'Renewals of leases that the row in the store did not confirm, by task.',
    ('task',),
)
settings_age = aioprometheus.Gauge(
    'egretstep_settings_age_seconds',
    'Time since the settings in force were confirmed to be the latest.',
)
feed_failures = BufferedCounter(
    'egretstep_feed_failures_total',
    'Polls of other hosts for changes of tables that were of no use, by reason.',
    (_REASON,),
)
server_capacity = aioprometheus.Gauge(
    'egretstep_server_capacity',
    'Statements that may run at a server at once, by server.',
)
capacity_changes = BufferedCounter(
    'egretstep_capacity_changes_total',
    'Changes of the concurrency limit of a server, by server and reason.',
    ('server', _REASON),
)
idle_transactions_ended = BufferedCounter(
    'egretstep_idle_transactions_ended_total',
    'Idle transactions rolled back for a waiting statement, by workspace.',
    ('workspace',),
)
connections_refused = BufferedCounter(
    'egretstep_connections_refused_total',
    'Statements refused because their workspace holds too many connections.',
    ('workspace',),
)
usage_reports = BufferedCounter(
    'egretstep_usage_reports_total',
    'Reports of usage sent to the platform, by outcome.',
    ('outcome',),
)
waiting_usage_reports = aioprometheus.Gauge(
    'egretstep_waiting_usage_reports',
    'Reports of usage that the platform has not accepted yet.',
)
late_usage_counts = BufferedCounter(
    'egretstep_late_usage_counts_total',
    'Counts of usage that came after the report of their window, by host.',
    ('host',),
)


def publish_all() -> None:
    """Publish the buffered increments of all counters."""
    for counter in _buffered_counters:
        counter.publish()
