"""Periodic work of a host's program that no event causes."""

import asyncio
import typing

from egretstep.pooling import brokers
from egretstep.settings import age_monitor

SWEEP_INTERVAL_SECONDS = 0.5


class Sweeper:
    """Sweeps the brokers and checks the age of the configuration.

    While this host is isolated from all others, it also closes idle sessions:
    the load balancer connects their callers to another host.
    """

    def __init__(
        self,
        *,
        broker_table: brokers.BrokerTable,
        settings_age: age_monitor.AgeMonitor,
        is_isolated: typing.Callable[[], bool],
        close_idle_sessions: typing.Callable[[], object],
    ) -> None:
        self._brokers = broker_table
        self._age_monitor = settings_age
        self._is_isolated = is_isolated
        self._close_idle_sessions = close_idle_sessions

    async def run(self) -> None:
        """Sweep in intervals until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self._brokers.sweep()
            self._age_monitor.check()
            if self._is_isolated():
                self._close_idle_sessions()
