"""Admission control of requests against the rate limit of their workspace.

The owner of the workspace's first database keeps the token bucket for the
whole fleet. The database servers fence it, so that there is only one such
owner at a time, even while the platform's store is down. A new owner starts
with an empty bucket once the lease of the previous owner has expired, so that
a burst is never granted twice. The owners of the workspace's other databases
request tokens from it in small batches.
"""

import asyncio
import dataclasses
import typing

from egretstep import clock, errors, identifiers
from egretstep.limits import bucket
from egretstep.observability import metrics
from egretstep.settings import tree

MAX_SHAPING_DELAY_SECONDS = 0.25
BATCH_LIFETIME_SECONDS = 0.05

TakeTokens = typing.Callable[
    [identifiers.WorkspaceName, int],
    typing.Awaitable['Lot'],
]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lot:
    """A batch of tokens from the counting owner.

    If `granted` is zero, a new request makes sense after `retry_after`
    seconds.
    """

    granted: int
    retry_after: float = 0


class Admission(typing.Protocol):
    """Admission control for the requests of one workspace."""

    async def admit(self, *, longest_wait: float) -> None:
        """Wait until the request may run, at most `longest_wait` seconds.

        Raises `errors.RefusedError` if no token is available in that time.
        """

    def refund(self) -> None:
        """Put back the token of a request that was admitted but not run."""

    def apply_settings(self, effective: tree.EffectiveSettings) -> None:
        """Apply the rate and burst of new settings."""


class CountingAdmission:
    """Admission at the owner that keeps the bucket for the whole fleet."""

    def __init__(
        self,
        *,
        workspace: identifiers.WorkspaceName,
        effective: tree.EffectiveSettings,
        time_source: clock.Clock,
        empty_at: float,
    ) -> None:
        self._workspace = workspace
        self._empty_at = empty_at
        self._bucket = bucket.TokenBucket(
            rate=effective.rate,
            burst=effective.burst,
            time_source=time_source,
            empty_at=empty_at,
        )

    @property
    def empty_at(self) -> float:
        """Return the monotonic time at which the bucket was empty."""
        return self._empty_at

    async def admit(self, *, longest_wait: float) -> None:
        """Wait for a token.

        Raises `errors.RefusedError` if the wait would be longer than
        `longest_wait` or `MAX_SHAPING_DELAY_SECONDS`.
        """
        max_delay = min(longest_wait, MAX_SHAPING_DELAY_SECONDS)
        wait = self._bucket.reserve(longest_wait=max_delay)
        if wait is None:
            raise rate_refusal(self._workspace, self._bucket.retry_after())
        if wait:
            await asyncio.sleep(wait)

    def take(self, wanted: int) -> Lot:
        """Grant up to `wanted` tokens to another owner, without waiting."""
        granted = self._bucket.take(wanted)
        retry_after = 0 if granted else self._bucket.retry_after()
        return Lot(granted=granted, retry_after=retry_after)

    def refund(self) -> None:
        """Put back the token of a request that was admitted but not run."""
        self._bucket.refund()

    def apply_settings(self, effective: tree.EffectiveSettings) -> None:
        """Apply a new rate and burst to the bucket."""
        self._bucket.set_limits(rate=effective.rate, burst=effective.burst)


class BorrowingAdmission:
    """Admission at an owner that requests its tokens from the counting owner.

    Each batch is as large as the number of waiting requests, so that tokens
    are used as soon as they arrive and a high load needs few messages.
    Unused tokens expire after `BATCH_LIFETIME_SECONDS`, so that they can't be
    spent on top of those of a later window.
    """

    def __init__(
        self,
        *,
        workspace: identifiers.WorkspaceName,
        take_tokens: TakeTokens,
        time_source: clock.Clock,
    ) -> None:
        self._workspace = workspace
        self._take_tokens = take_tokens
        self._clock = time_source
        self._tokens = 0
        self._expires_at = float('-inf')
        self._waiting_requests = 0
        self._refill_lock = asyncio.Lock()

    async def admit(self, *, longest_wait: float) -> None:
        """Take a token of the current batch, or wait for the next.

        Raises `errors.RefusedError` if no token is available within
        `longest_wait` or `MAX_SHAPING_DELAY_SECONDS`.
        """
        max_delay = min(longest_wait, MAX_SHAPING_DELAY_SECONDS)
        deadline = self._clock.now() + max_delay
        self._waiting_requests += 1
        try:
            while not self._take_local_token():
                retry_after = await self._refill()
                if self._clock.now() + retry_after > deadline:
                    raise rate_refusal(self._workspace, retry_after)
                await asyncio.sleep(retry_after)
        finally:
            self._waiting_requests -= 1

    def refund(self) -> None:
        """Put back the token of a request that was admitted but not run."""
        self._tokens += 1

    def apply_settings(self, effective: tree.EffectiveSettings) -> None:
        """Do nothing: the counting owner applies the settings."""

    def _take_local_token(self) -> bool:
        if self._tokens < 1 or self._clock.now() > self._expires_at:
            return False
        self._tokens -= 1
        return True

    async def _refill(self) -> float:
        """Request a batch; return the seconds to wait before the next try."""
        async with self._refill_lock:
            if self._tokens > 0 and self._clock.now() <= self._expires_at:
                return 0
            batch = await self._take_tokens(
                self._workspace, self._waiting_requests
            )
            if batch.granted:
                self._tokens = batch.granted
                self._expires_at = self._clock.now() + BATCH_LIFETIME_SECONDS
                return 0
            return max(batch.retry_after, clock.to_seconds(1))


def rate_refusal(
    workspace: identifiers.WorkspaceName,
    retry_after: float,
) -> errors.RefusedError:
    """Count a refused request and return its error.

    `retry_after` is in seconds.
    """
    metrics.refusals.inc(workspace, 'rate')
    return errors.RefusedError(
        refusal=errors.Refusal(
            kind=errors.RefusalKind.RATE_EXCEEDED,
            message=(
                f'workspace {workspace} is above its rate; '
                'wait, or ask the operators for a higher one'
            ),
            retry_after_ms=max(1, clock.to_milliseconds(retry_after)),
        ),
    )
