"""Metrics endpoint on a port of its own."""

import asyncio

from aioprometheus import service

from egretstep.observability import metrics

PUBLISH_INTERVAL_SECONDS = 0.5


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
            while True:
                await asyncio.sleep(PUBLISH_INTERVAL_SECONDS)
                metrics.publish_all()
        finally:
            await endpoint.stop()
