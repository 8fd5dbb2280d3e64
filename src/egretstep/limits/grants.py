"""Rate limits of workspaces, counted by one host for the whole fleet.

The host that holds the counting task, the counting host, grants other hosts
tokens in small batches, so that most operations need no message to it.
"""

import dataclasses
import typing

import logbook

from egretstep import clock, identifiers
from egretstep.limits import bucket, usage
from egretstep.settings import deployment

MAX_RESERVATION_SECONDS = 0.2
HOST_TIMEOUT_SECONDS = 2.0
SILENT_HOSTS_REFRESH_SECONDS = 0.1
MIN_FALLBACK_SHARE = 0.3
FALLBACK_HEADROOM = 1.2
# The rest of a host's equal share stays with the counting host.
POOLED_SHARE = 0.8
SUMMARY_INTERVAL_SECONDS = 1.0
_logger = logbook.Logger('grants')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Tokens that the counting host grants to a host for one workspace.

    Use them after `wait` seconds; if none, ask again in `retry_after` seconds.
    """

    granted: int
    wait: float = 0
    retry_after: float = 0


Workspace = identifiers.WorkspaceName


@dataclasses.dataclass(slots=True, kw_only=True)
class _GrantSummary:
    """Tokens granted to a workspace and requests without any, for the log."""

    started_at: float  # monotonic time
    granted: int = 0
    refused: int = 0


def fallback_rate(
    settings: deployment.Workspace, *, hosts: int, used: float
) -> float:
    """Return the operations per second without a counting host.

    `used` is the host's recent rate and `hosts` the size of the fleet. Callers
    may be spread unevenly over the hosts, so each host goes on at its recent
    rate; these add up to the workspace's rate at most. `FALLBACK_HEADROOM`
    allows for randomly spaced arrivals. A host that had no callers of the
    workspace may use `MIN_FALLBACK_SHARE` of its equal share of the rate.
    """
    minimum = MIN_FALLBACK_SHARE * settings.rate / hosts
    return min(settings.rate, max(FALLBACK_HEADROOM * used, minimum))


def pooled_rate(settings: deployment.Workspace, *, hosts: int) -> float:
    """Return the operations per second that a host may pool at a standby.

    `hosts` is the size of the fleet.
    """
    return POOLED_SHARE * settings.rate / hosts


class FleetRateLimiter:
    """Token buckets of all workspaces, kept by the counting host.

    A host that has not called within `HOST_TIMEOUT_SECONDS` is assumed to use
    its fallback rate, or to pool its share at a standby. The larger of the two
    is subtracted from the rate of the other hosts.
    New buckets are filled as if empty at `empty_at`, in monotonic seconds.
    """

    def __init__(
        self,
        *,
        current_deployment: typing.Callable[[], deployment.Deployment],
        hosts: typing.Callable[[], typing.Collection[identifiers.HostName]],
        time_source: clock.Clock,
        empty_at: float,
    ) -> None:
        self._current_deployment = current_deployment
        self._hosts = hosts
        self._clock = time_source
        self._started_at = time_source.now()
        self._empty_at = empty_at
        self._buckets: dict[Workspace, bucket.TokenBucket] = {}
        self._applied_limits: dict[Workspace, tuple[float, float]] = {}
        self._summaries: dict[Workspace, _GrantSummary] = {}
        self._meters: dict[
            tuple[identifiers.HostName, Workspace], usage.UsageMeter
        ] = {}
        self._last_contact_at: dict[identifiers.HostName, float] = {}
        self._cached_silent_hosts: list[identifiers.HostName] = []
        self._silent_hosts_at = float('-inf')
        self._host_count = 1

    def record_contact(self, host: identifiers.HostName) -> None:
        """Record that a host reaches the counting host."""
        self._last_contact_at[host] = self._clock.now()

    def distributable_rate(self, settings: deployment.Workspace) -> float:
        """Return the rate left to calling hosts, at least one equal share."""
        now = self._clock.now()
        if self._started_at > now - HOST_TIMEOUT_SECONDS:
            return settings.rate
        silent = self._silent_hosts(now)
        if not silent:
            return settings.rate
        silent_rate = sum(
            self._reserved_rate(host, settings, now) for host in silent
        )
        minimum = settings.rate / self._host_count
        return max(settings.rate - silent_rate, minimum)

    def _reserved_rate(
        self,
        host: identifiers.HostName,
        settings: deployment.Workspace,
        now: float,
    ) -> float:
        """Return the rate that a host may use without this one's grants."""
        alone = fallback_rate(
            settings,
            hosts=self._host_count,
            used=self._meter(host, settings.name).rate(now=now),
        )
        return max(alone, pooled_rate(settings, hosts=self._host_count))

    def _silent_hosts(self, now: float) -> list[identifiers.HostName]:
        """Return the hosts silent for the host timeout, cached for a while."""
        if now - self._silent_hosts_at > SILENT_HOSTS_REFRESH_SECONDS:
            hosts = self._hosts()
            limit = now - HOST_TIMEOUT_SECONDS
            self._silent_hosts_at = now
            self._host_count = len(hosts)
            self._cached_silent_hosts = [
                host
                for host in hosts
                if self._last_contact_at.get(host, 0) < limit
            ]
        return self._cached_silent_hosts

    def take(
        self, workspace: Workspace, wanted: int, caller: identifiers.HostName
    ) -> Grant:
        """Grant up to `wanted` tokens to the host `caller`.

        Tokens due soon are reserved. A workspace without a rate gets none.
        """
        self.record_contact(caller)
        settings = self._current_deployment().workspaces.get(workspace)
        if settings is None or settings.rate <= 0:
            return Grant(granted=0, retry_after=1)
        tokens = self._bucket(settings)
        granted = tokens.take(wanted)
        wait = 0.0
        if not granted:
            granted, wait = reserve(tokens, wanted)
        self._add_grant(settings, granted)
        if granted:
            meter = self._meter(caller, workspace)
            meter.add(granted, now=self._clock.now())
            return Grant(granted=granted, wait=wait)
        return Grant(granted=0, retry_after=tokens.retry_after())

    def _add_grant(self, settings: deployment.Workspace, granted: int) -> None:
        """Count a grant; log once an interval if any request got no token."""
        now = self._clock.now()
        summary = self._summaries.setdefault(
            settings.name, _GrantSummary(started_at=now)
        )
        summary.granted += granted
        summary.refused += not granted
        if now - summary.started_at < SUMMARY_INTERVAL_SECONDS:
            return
        if summary.refused:
            _logger.info(
                'workspace {} is above its rate: {} tokens granted, {} host '
                'requests got no tokens in {:.1f} s; distributing {:.1f} of '
                'the configured {:.1f} tokens per second, burst {:.0f}',
                settings.name,
                summary.granted,
                summary.refused,
                now - summary.started_at,
                self._applied_limits[settings.name][0],
                settings.rate,
                settings.burst,
            )
        self._summaries[settings.name] = _GrantSummary(started_at=now)

    def _meter(
        self, host: identifiers.HostName, workspace: Workspace
    ) -> usage.UsageMeter:
        meter = self._meters.get((host, workspace))
        if meter is None:
            meter = usage.UsageMeter(now=self._clock.now())
            self._meters[host, workspace] = meter
        return meter

    def _bucket(self, settings: deployment.Workspace) -> bucket.TokenBucket:
        rate = self.distributable_rate(settings)
        limits = (rate, settings.burst)
        tokens = self._buckets.get(settings.name)
        if tokens is None:
            tokens = bucket.TokenBucket(
                rate=rate,
                burst=settings.burst,
                time_source=self._clock,
                empty_at=self._empty_at,
            )
            self._buckets[settings.name] = tokens
        elif self._applied_limits[settings.name] != limits:
            tokens.set_limits(rate=rate, burst=settings.burst)
        self._applied_limits[settings.name] = limits
        return tokens


def reserve(tokens: bucket.TokenBucket, wanted: int) -> tuple[int, float]:
    """Reserve the next tokens, in the order of the requests of all hosts.

    Returns their number and the seconds until the last of them is due.
    """
    last = 0.0
    for reserved in range(wanted):
        wait = tokens.reserve(longest_wait=MAX_RESERVATION_SECONDS)
        if wait is None:
            return reserved, last
        last = wait
    return wanted, last
