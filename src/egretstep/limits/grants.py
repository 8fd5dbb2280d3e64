"""Rate limits of workspaces, counted by one host for the whole fleet.

The host that holds the counting task, the counting host, grants other hosts
tokens in small batches, so that most operations need no message to it.
"""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import clock, identifiers
from egretstep.limits import bucket, usage
from egretstep.settings import deployment

BATCH_DEMAND_SECONDS = 0.4
BATCH_LIFETIME_SECONDS = 1.5
MAX_RESERVATION_SECONDS = 0.2
MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.5
MAX_ADMISSION_SECONDS = 0.3
HOST_TIMEOUT_SECONDS = 2.0
SILENT_HOSTS_REFRESH_SECONDS = 0.1
MIN_FALLBACK_SHARE = 0.3
FALLBACK_HEADROOM = 1.2
FALLBACK_BURST_SECONDS = 0.3
MIN_FALLBACK_BURST = 2
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
RequestTokens = typing.Callable[
    [Workspace, int], typing.Awaitable[Grant | None]
]


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


class FleetRateLimiter:
    """Token buckets of all workspaces, kept by the counting host.

    A host that has not called within `HOST_TIMEOUT_SECONDS` is assumed to use
    its fallback rate, which is subtracted from the rate of the other hosts.
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
            fallback_rate(
                settings,
                hosts=self._host_count,
                used=self._meter(host, settings.name).rate(now=now),
            )
            for host in silent
        )
        minimum = settings.rate / self._host_count
        return max(settings.rate - silent_rate, minimum)

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
            granted, wait = _reserve(tokens, wanted)
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


def _reserve(tokens: bucket.TokenBucket, wanted: int) -> tuple[int, float]:
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


class _LocalTokens:
    """Tokens of one workspace on this host, with its demand.

    `demand` measures the requests and `used` the granted tokens. `waiting`
    operations wait for `pending_request`, the request for tokens.
    """

    def __init__(self, *, now: float) -> None:
        self.tokens = 0
        self.expires_at = 0.0
        self.refused_until = 0.0
        self.demand = usage.UsageMeter(now=now)
        self.used = usage.UsageMeter(now=now)
        self.waiting = 0
        self.pending_request: asyncio.Task[None] | None = None

    def take_one(self, now: float) -> bool:
        """Take a token that has not expired; return whether there was one."""
        if self.expires_at < now:
            self.tokens = 0
        if not self.tokens:
            return False
        self.tokens -= 1
        return True

    def tokens_to_request(self, now: float) -> int:
        """Return the need of the waiters and `BATCH_DEMAND_SECONDS`."""
        rate = self.demand.rate(now=now)
        return max(1, self.waiting, round(rate * BATCH_DEMAND_SECONDS))


class HostRateLimiter:
    """Admission control for the operations of callers on this host.

    `request_tokens` asks the counting host for tokens; it returns None if
    there is none. The limiter then admits operations at the rate that
    `fallback_rate` returns for a workspace and this host's recent rate.
    """

    def __init__(
        self,
        *,
        request_tokens: RequestTokens,
        fallback_rate: typing.Callable[[Workspace, float], float],
        time_source: clock.Clock,
    ) -> None:
        self._request_tokens = request_tokens
        self._fallback_rate = fallback_rate
        self._clock = time_source
        self._local_tokens: dict[Workspace, _LocalTokens] = {}
        self._fallback_buckets: dict[Workspace, bucket.TokenBucket] = {}

    async def admit(self, workspace: Workspace) -> float | None:
        """Return None if a token was taken, or the seconds until a retry."""
        now = self._clock.now()
        local = self._local_tokens.get(workspace)
        if local is None:
            local = _LocalTokens(now=now)
            self._local_tokens[workspace] = local
        local.demand.add(1, now=now)
        deadline = now + MAX_ADMISSION_SECONDS
        while not local.take_one(now):
            if local.refused_until > now or now > deadline:
                return max(local.refused_until - now, MIN_RETRY_SECONDS)
            await self._refill(workspace, local)
            now = self._clock.now()
        return None

    async def _refill(self, workspace: Workspace, local: _LocalTokens) -> None:
        local.waiting += 1
        try:
            if local.pending_request is None or local.pending_request.done():
                local.pending_request = asyncio.ensure_future(
                    self._request_grant(workspace, local),
                )
            await asyncio.shield(local.pending_request)
        finally:
            local.waiting -= 1

    async def _request_grant(
        self, workspace: Workspace, local: _LocalTokens
    ) -> None:
        wanted = local.tokens_to_request(self._clock.now())
        grant = await self._request_tokens(workspace, wanted)
        if grant is None:
            grant = self._grant_local(workspace, local)
        else:
            self._fallback_buckets.pop(workspace, None)
            local.used.add(grant.granted, now=self._clock.now())
        if grant.wait:
            await asyncio.sleep(grant.wait)
        now = self._clock.now()
        if grant.granted:
            local.tokens += grant.granted
            local.expires_at = now + BATCH_LIFETIME_SECONDS
        else:
            pause = min(grant.retry_after, MAX_RETRY_SECONDS)
            local.refused_until = now + max(pause, MIN_RETRY_SECONDS)

    def _grant_local(self, workspace: Workspace, local: _LocalTokens) -> Grant:
        """Grant tokens at this host's recent rate, by itself."""
        tokens = self._fallback_buckets.get(workspace)
        if tokens is None:
            used = local.used.rate(now=self._clock.now())
            rate = self._fallback_rate(workspace, used)
            if rate <= 0:
                return Grant(granted=0, retry_after=1)
            tokens = bucket.TokenBucket(
                rate=rate,
                burst=max(MIN_FALLBACK_BURST, rate * FALLBACK_BURST_SECONDS),
                time_source=self._clock,
            )
            self._fallback_buckets[workspace] = tokens
        granted, wait = _reserve(tokens, max(1, local.waiting))
        if granted:
            return Grant(granted=granted, wait=wait)
        return Grant(granted=0, retry_after=tokens.retry_after())
