"""Counters, gauges and histograms, and the endpoint that shows them."""

import asyncio

import aioprometheus
from aioprometheus import service

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

statements = aioprometheus.Counter(
    'egretstep_statements_total',
    'Statements answered to callers, by workspace and outcome.',
)
refusals = aioprometheus.Counter(
    'egretstep_refusals_total',
    'Requests refused, by workspace and kind.',
)
refused_within_rate = aioprometheus.Counter(
    'egretstep_refused_within_rate_total',
    'Requests refused for rate while tokens were on the way, by workspace.',
)
reads = aioprometheus.Counter(
    'egretstep_reads_total',
    'Reads served, by database and role of the server.',
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
callers = aioprometheus.Gauge(
    'egretstep_caller_connections',
    'Open caller connections.',
)
retries = aioprometheus.Counter(
    'egretstep_retries_total',
    'Statements sent again, by reason.',
)
settings_version = aioprometheus.Gauge(
    'egretstep_settings_version',
    'Version of the settings in force.',
)
settings_age = aioprometheus.Gauge(
    'egretstep_settings_age_seconds',
    'Time since the settings in force were confirmed to be the latest.',
)


class MetricsEndpoint:
    """Serves the metrics over HTTP in the Prometheus text format."""

    def __init__(self, *, address: str, port: int | None) -> None:
        self._address = address
        self._port = port

    async def run(self) -> None:
        """Serve until cancelled; do nothing without a port."""
        if self._port is None:
            return
        endpoint = service.Service()
        await endpoint.start(addr=self._address, port=self._port)
        try:
            await asyncio.Event().wait()
        finally:
            await endpoint.stop()
