"""Rate limits of workspaces while the counting host can't be reached.

Load pattern: the counting host is lost or cut off while the store is down, so
that no other host can take over its task for some seconds. The callers of a
small workspace are on few hosts, in uneven numbers. Each host alone may admit
only a small part of the workspace's rate, and would refuse callers although
most of the rate is unused. Hosts therefore pool their shares at one standby.
"""

import typing

from egretstep import clock, identifiers
from egretstep.limits import bucket, grants
from egretstep.settings import deployment

CONTACT_TIMEOUT_SECONDS = 2.0
BURST_SECONDS = 0.3
MIN_BURST = 2.0
NO_WORKSPACE_RETRY_SECONDS = 1.0


class StandbyRateLimiter:
    """Token buckets that a standby keeps for the hosts that call it.

    Each host that has called within `CONTACT_TIMEOUT_SECONDS` contributes its
    share of every workspace's rate, `grants.pooled_rate`. The counting host
    leaves this share to hosts that don't call it, so that the two together
    stay within the rate. `hosts` returns the hosts of the fleet that are up.
    """

    def __init__(
        self,
        *,
        current_deployment: typing.Callable[[], deployment.Deployment],
        hosts: typing.Callable[[], typing.Collection[identifiers.HostName]],
        time_source: clock.Clock,
    ) -> None:
        self._current_deployment = current_deployment
        self._hosts = hosts
        self._clock = time_source
        self._latest_contact_at: dict[identifiers.HostName, float] = {}
        self._buckets: dict[identifiers.WorkspaceName, bucket.TokenBucket] = {}

    def record_contact(self, host: identifiers.HostName) -> None:
        """Record that a host can't reach the counting host and calls here."""
        self._latest_contact_at[host] = self._clock.now()

    def take(
        self,
        workspace: identifiers.WorkspaceName,
        wanted: int,
        caller: identifiers.HostName,
    ) -> grants.Grant:
        """Grant up to `wanted` tokens of the pooled rate to a host."""
        self.record_contact(caller)
        settings = self._current_deployment().workspaces.get(workspace)
        if settings is None or settings.rate <= 0:
            return grants.Grant(
                granted=0, retry_after=NO_WORKSPACE_RETRY_SECONDS
            )
        tokens = self._bucket(settings)
        granted = tokens.take(wanted)
        if granted:
            return grants.Grant(granted=granted)
        granted, wait = grants.reserve(tokens, wanted)
        if granted:
            return grants.Grant(granted=granted, wait=wait)
        return grants.Grant(granted=0, retry_after=tokens.retry_after())

    def _bucket(self, settings: deployment.Workspace) -> bucket.TokenBucket:
        host_count = max(1, len(self._hosts()))
        rate = self._count_callers() * grants.pooled_rate(
            settings, hosts=host_count
        )
        burst = max(MIN_BURST, rate * BURST_SECONDS)
        tokens = self._buckets.get(settings.name)
        if tokens is None:
            tokens = bucket.TokenBucket(
                rate=rate, burst=burst, time_source=self._clock
            )
            self._buckets[settings.name] = tokens
        else:
            tokens.set_limits(rate=rate, burst=burst)
        return tokens

    def _count_callers(self) -> int:
        """Return how many hosts have called recently; forget the others."""
        oldest = self._clock.now() - CONTACT_TIMEOUT_SECONDS
        self._latest_contact_at = {
            host: called_at
            for host, called_at in self._latest_contact_at.items()
            if called_at >= oldest
        }
        return len(self._latest_contact_at)
