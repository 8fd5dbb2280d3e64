"""Admission of requests against the rate of their workspace.

The owner of the workspace's first database counts for the whole fleet. It
is fenced by the database servers, so that there is one at a time, also
while the platform's store is down. A new owner starts with an empty bucket
after the lease of the old one has run out, so that no burst is given twice.
Owners of the workspace's other databases ask it for tokens in small lots.
"""

import asyncio
import dataclasses
import typing

from egretstep import clock, errors, identifiers
from egretstep.limits import bucket
from egretstep.observability import metrics
from egretstep.settings import tree

LONGEST_SHAPING_SECONDS = 0.25
LOT_LIFETIME_SECONDS = 0.05

TakeTokens = typing.Callable[
    [identifiers.WorkspaceName, int],
    typing.Awaitable['Lot'],
]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lot:
    """Tokens from the counting owner, or when to ask again."""

    granted: int
    retry_after: float = 0


class Admission(typing.Protocol):
    """Decides whether a request of a workspace may run now."""

    async def admit(self, *, longest_wait: float) -> None:
        """Return when the request may run.

        Raises `errors.RefusedError` when that would take too long.
        """

    def give_back(self) -> None:
        """Return the token of a request that did not run."""

    def change(self, effective: tree.EffectiveSettings) -> None:
        """Follow a change of settings."""


class CountingAdmission:
    """Admission at the owner that counts for the whole fleet."""

    def __init__(
        self,
        *,
        workspace: identifiers.WorkspaceName,
        effective: tree.EffectiveSettings,
        time_source: clock.Clock,
        earning_since: float,
    ) -> None:
        self._workspace = workspace
        self._earning_since = earning_since
        self._bucket = bucket.TokenBucket(
            rate=effective.rate,
            burst=effective.burst,
            time_source=time_source,
            earning_since=earning_since,
        )

    @property
    def earning_since(self) -> float:
        """Return the time at which the bucket was empty."""
        return self._earning_since

    async def admit(self, *, longest_wait: float) -> None:
        """Wait for a token or refuse."""
        shaping = min(longest_wait, LONGEST_SHAPING_SECONDS)
        wait = self._bucket.reserve(longest_wait=shaping)
        if wait is None:
            raise rate_refusal(self._workspace, self._bucket.retry_after())
        if wait:
            await asyncio.sleep(wait)

    def take(self, wanted: int) -> Lot:
        """Give tokens to another owner."""
        granted = self._bucket.take(wanted)
        retry_after = 0 if granted else self._bucket.retry_after()
        return Lot(granted=granted, retry_after=retry_after)

    def give_back(self) -> None:
        """Return a token whose request did not run."""
        self._bucket.give_back()

    def change(self, effective: tree.EffectiveSettings) -> None:
        """Follow a change of rate and burst."""
        self._bucket.change(rate=effective.rate, burst=effective.burst)


class BorrowingAdmission:
    """Admission at an owner that gets its tokens from the counting one.

    A lot is as large as the number of requests that wait for one, so that
    tokens are used as soon as they come and busy times need few messages.
    Tokens that were not used in time lapse, so that they can't add up with
    those of a later window.
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
        self._lapse_at = float('-inf')
        self._waiting = 0
        self._asking = asyncio.Lock()

    async def admit(self, *, longest_wait: float) -> None:
        """Use a token of the current lot, or wait for the next one."""
        shaping = min(longest_wait, LONGEST_SHAPING_SECONDS)
        deadline = self._clock.now() + shaping
        self._waiting += 1
        try:
            while not self._use():
                retry_after = await self._refill()
                if self._clock.now() + retry_after > deadline:
                    raise rate_refusal(self._workspace, retry_after)
                await asyncio.sleep(retry_after)
        finally:
            self._waiting -= 1

    def give_back(self) -> None:
        """Return a token whose request did not run."""
        self._tokens += 1

    def change(self, effective: tree.EffectiveSettings) -> None:
        """Do nothing: the counting owner follows the settings."""

    def _use(self) -> bool:
        if self._tokens < 1 or self._clock.now() > self._lapse_at:
            return False
        self._tokens -= 1
        return True

    async def _refill(self) -> float:
        async with self._asking:
            if self._tokens > 0 and self._clock.now() <= self._lapse_at:
                return 0
            lot = await self._take_tokens(self._workspace, self._waiting)
            if lot.granted:
                self._tokens = lot.granted
                self._lapse_at = self._clock.now() + LOT_LIFETIME_SECONDS
                return 0
            return max(lot.retry_after, clock.to_seconds(1))


def rate_refusal(
    workspace: identifiers.WorkspaceName,
    retry_after: float,
) -> errors.RefusedError:
    """Make the refusal of a request above the rate."""
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
