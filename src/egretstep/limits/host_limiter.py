"""Admission of callers' operations on one host, from granted tokens."""

import asyncio
import typing

from egretstep import clock
from egretstep.limits import bucket, grants, usage

BATCH_DEMAND_SECONDS = 0.4
BATCH_LIFETIME_SECONDS = 1.5
MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.5
MAX_ADMISSION_SECONDS = 0.3
FALLBACK_BURST_SECONDS = 0.3
MIN_FALLBACK_BURST = 2

RequestTokens = typing.Callable[
    [grants.Workspace, int], typing.Awaitable[grants.Grant | None]
]


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
        fallback_rate: typing.Callable[[grants.Workspace, float], float],
        time_source: clock.Clock,
    ) -> None:
        self._request_tokens = request_tokens
        self._fallback_rate = fallback_rate
        self._clock = time_source
        self._local_tokens: dict[grants.Workspace, _LocalTokens] = {}
        self._fallback_buckets: dict[grants.Workspace, bucket.TokenBucket] = {}

    async def admit(self, workspace: grants.Workspace) -> float | None:
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

    async def _refill(
        self, workspace: grants.Workspace, local: _LocalTokens
    ) -> None:
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
        self, workspace: grants.Workspace, local: _LocalTokens
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

    def _grant_local(
        self, workspace: grants.Workspace, local: _LocalTokens
    ) -> grants.Grant:
        """Grant tokens at this host's recent rate, by itself."""
        tokens = self._fallback_buckets.get(workspace)
        if tokens is None:
            used = local.used.rate(now=self._clock.now())
            rate = self._fallback_rate(workspace, used)
            if rate <= 0:
                return grants.Grant(granted=0, retry_after=1)
            tokens = bucket.TokenBucket(
                rate=rate,
                burst=max(MIN_FALLBACK_BURST, rate * FALLBACK_BURST_SECONDS),
                time_source=self._clock,
            )
            self._fallback_buckets[workspace] = tokens
        granted, wait = grants.reserve(tokens, max(1, local.waiting))
        if granted:
            return grants.Grant(granted=granted, wait=wait)
        return grants.Grant(granted=0, retry_after=tokens.retry_after())
