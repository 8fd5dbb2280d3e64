"""Periodic work of a host's program that no event causes."""

import asyncio
import typing

from egretstep.observability import metrics
from egretstep.pooling import brokers
from egretstep.settings import configuration_follower

SWEEP_INTERVAL_SECONDS = 0.5


class Sweeper:
    """Sweeps the brokers and publishes the age of the configuration.

    While this host is isolated from all others, it also closes idle sessions:
    the load balancer connects their callers to another host.
    """

    def __init__(
        self,
        *,
        broker_table: brokers.BrokerTable,
        configuration: configuration_follower.ConfigurationFollower,
        is_isolated: typing.Callable[[], bool],
        close_idle_sessions: typing.Callable[[], object],
    ) -> None:
        self._brokers = broker_table
        self._configuration = configuration
        self._is_isolated = is_isolated
        self._close_idle_sessions = close_idle_sessions

    async def run(self) -> None:
        """Sweep in intervals until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self._brokers.sweep()
            self._publish_settings()
            if self._is_isolated():
                self._close_idle_sessions()

    def _publish_settings(self) -> None:
        metrics.settings_version.set({}, self._configuration.version)
        metrics.settings_age.set({}, self._configuration.age)
