"""Rate and burst of workspaces, counted once for the whole fleet.

One host holds the task of counting. It gives tokens in small lots to the
hosts that admit operations, so that most operations need no message.
"""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import clock, identifiers
from egretstep.limits import bucket, usage
from egretstep.settings import deployment

LOT_SECONDS = 0.4
LOT_LIFETIME_SECONDS = 1.5
LONGEST_WAIT_SECONDS = 0.2
REFUSED_PAUSE_SECONDS = 0.05
LONGEST_REFUSAL_SECONDS = 0.5
LONGEST_ADMISSION_SECONDS = 0.3
CONTACT_SECONDS = 2.0
SILENT_LOOK_SECONDS = 0.1
NEWCOMER_SHARE = 0.3
UNCOUNTED_HEADROOM = 1.2
UNCOUNTED_BURST_SECONDS = 0.3
UNCOUNTED_BURST = 2
ACCOUNT_SECONDS = 1.0
_logger = logbook.Logger('grants')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Tokens of one workspace, or when there will be one.

    The tokens may be used after `wait` seconds. Without any, asking again
    is worth while after `retry_after` seconds.
    """

    granted: int
    wait: float = 0
    retry_after: float = 0


Workspace = identifiers.WorkspaceName
Ask = typing.Callable[[Workspace, int], typing.Awaitable[Grant | None]]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Account:
    """What was given to a workspace since a moment."""

    since: float
    granted: int = 0
    empty: int = 0


def uncounted_rate(
    settings: deployment.Workspace,
    *,
    hosts: int,
    used: float,
) -> float:
    """Return what one host may admit a second while nobody counts.

    Load pattern: the counting host is lost while callers of a workspace are
    spread unevenly. What the hosts used before adds up to the rate at most;
    a small part of it is left for a host that had no such callers.
    """
    least = NEWCOMER_SHARE * settings.rate / hosts
    return min(settings.rate, max(UNCOUNTED_HEADROOM * used, least))


class Counter:
    """Buckets of all workspaces at the host that counts.

    Hosts that have not called lately go on with what they used before, so
    that the rate is lowered by as much. Every bucket was empty at
    `earning_since`, a time of the clock.
    """

    def __init__(
        self,
        *,
        current: typing.Callable[[], deployment.Deployment],
        hosts: typing.Callable[[], typing.Collection[identifiers.HostName]],
        time_source: clock.Clock,
        earning_since: float,
    ) -> None:
        self._current = current
        self._hosts = hosts
        self._clock = time_source
        self._started_at = time_source.now()
        self._earning_since = earning_since
        self._buckets: dict[Workspace, bucket.TokenBucket] = {}
        self._limits: dict[Workspace, tuple[float, float]] = {}
        self._accounts: dict[Workspace, _Account] = {}
        self._meters: dict[
            tuple[identifiers.HostName, Workspace],
            usage.UsageMeter,
        ] = {}
        self._called_at: dict[identifiers.HostName, float] = {}
        self._silent: list[identifiers.HostName] = []
        self._silent_as_of = float('-inf')
        self._host_count = 1

    def note_call(self, host: identifiers.HostName) -> None:
        """Remember that a host takes its tokens here."""
        self._called_at[host] = self._clock.now()

    def counted_rate(self, settings: deployment.Workspace) -> float:
        """Return the rate that is left for the hosts that call here."""
        now = self._clock.now()
        if self._started_at > now - CONTACT_SECONDS:
            return settings.rate
        silent = self._silent_hosts(now)
        if not silent:
            return settings.rate
        uncounted = sum(
            uncounted_rate(
                settings,
                hosts=self._host_count,
                used=self._used(host, settings.name).rate(now=now),
            )
            for host in silent
        )
        least = settings.rate / self._host_count
        return max(settings.rate - uncounted, least)

    def _silent_hosts(self, now: float) -> list[identifiers.HostName]:
        """Return the hosts that have not called lately, as of just now."""
        if now - self._silent_as_of > SILENT_LOOK_SECONDS:
            hosts = self._hosts()
            limit = now - CONTACT_SECONDS
            self._silent_as_of = now
            self._host_count = len(hosts)
            self._silent = [
                host for host in hosts if self._called_at.get(host, 0) < limit
            ]
        return self._silent

    def take(
        self,
        workspace: Workspace,
        wanted: int,
        caller: identifiers.HostName,
    ) -> Grant:
        """Give up to a number of tokens to a host."""
        self.note_call(caller)
        settings = self._current().workspaces.get(workspace)
        if settings is None or settings.rate <= 0:
            return Grant(granted=0, retry_after=1)
        tokens = self._bucket(settings)
        granted = tokens.take(wanted)
        wait = 0.0
        if not granted:
            granted, wait = _reserve(tokens, wanted)
        self._account(settings, granted)
        if granted:
            meter = self._used(caller, workspace)
            meter.add(granted, now=self._clock.now())
            return Grant(granted=granted, wait=wait)
        return Grant(granted=0, retry_after=tokens.retry_after())

    def _account(self, settings: deployment.Workspace, granted: int) -> None:
        """Log once a second how much a workspace above its rate got."""
        now = self._clock.now()
        account = self._accounts.setdefault(settings.name, _Account(since=now))
        account.granted += granted
        account.empty += not granted
        if now - account.since < ACCOUNT_SECONDS:
            return
        if account.empty:
            _logger.info(
                'workspace {}: {} granted and {} times nothing in {:.1f} s, '
                'rate {:.1f} of {:.1f}, burst {:.0f}',
                settings.name,
                account.granted,
                account.empty,
                now - account.since,
                self._limits[settings.name][0],
                settings.rate,
                settings.burst,
            )
        self._accounts[settings.name] = _Account(since=now)

    def _used(
        self,
        host: identifiers.HostName,
        workspace: Workspace,
    ) -> usage.UsageMeter:
        meter = self._meters.get((host, workspace))
        if meter is None:
            meter = usage.UsageMeter(now=self._clock.now())
            self._meters[host, workspace] = meter
        return meter

    def _bucket(self, settings: deployment.Workspace) -> bucket.TokenBucket:
        rate = self.counted_rate(settings)
        limits = (rate, settings.burst)
        tokens = self._buckets.get(settings.name)
        if tokens is None:
            tokens = bucket.TokenBucket(
                rate=rate,
                burst=settings.burst,
                time_source=self._clock,
                earning_since=self._earning_since,
            )
            self._buckets[settings.name] = tokens
        elif self._limits[settings.name] != limits:
            tokens.change(rate=rate, burst=settings.burst)
        self._limits[settings.name] = limits
        return tokens


def _reserve(tokens: bucket.TokenBucket, wanted: int) -> tuple[int, float]:
    """Promise the next tokens to whoever asked first, wherever that is.

    Returns how many, and after how many seconds the last of them is due.
    """
    last = 0.0
    for reserved in range(wanted):
        wait = tokens.reserve(longest_wait=LONGEST_WAIT_SECONDS)
        if wait is None:
            return reserved, last
        last = wait
    return wanted, last


class _Purse:
    """Tokens of one workspace on this host, and how fast they are used."""

    def __init__(self, *, now: float) -> None:
        self.tokens = 0
        self.expires_at = 0.0
        self.refused_until = 0.0
        self.demand = usage.UsageMeter(now=now)
        self.used = usage.UsageMeter(now=now)
        self.waiting = 0
        self.asking: asyncio.Task[None] | None = None

    def use_one(self, now: float) -> bool:
        """Take a token that is at hand and has not expired."""
        if self.expires_at < now:
            self.tokens = 0
        if not self.tokens:
            return False
        self.tokens -= 1
        return True

    def lot_size(self, now: float) -> int:
        """Return how many tokens are worth asking for."""
        rate = self.demand.rate(now=now)
        return max(1, self.waiting, round(rate * LOT_SECONDS))


class Admitter:
    """Admits the operations of callers on this host."""

    def __init__(
        self,
        *,
        ask: Ask,
        uncounted: typing.Callable[[Workspace, float], float],
        time_source: clock.Clock,
    ) -> None:
        self._ask = ask
        self._uncounted = uncounted
        self._clock = time_source
        self._purses: dict[Workspace, _Purse] = {}
        self._alone: dict[Workspace, bucket.TokenBucket] = {}

    async def admit(self, workspace: Workspace) -> float | None:
        """Take a token; returns the seconds to wait if there is none."""
        now = self._clock.now()
        purse = self._purses.get(workspace)
        if purse is None:
            purse = _Purse(now=now)
            self._purses[workspace] = purse
        purse.demand.add(1, now=now)
        deadline = now + LONGEST_ADMISSION_SECONDS
        while not purse.use_one(now):
            if purse.refused_until > now or now > deadline:
                return max(purse.refused_until - now, REFUSED_PAUSE_SECONDS)
            await self._replenish(workspace, purse)
            now = self._clock.now()
        return None

    async def _replenish(self, workspace: Workspace, purse: _Purse) -> None:
        purse.waiting += 1
        try:
            if purse.asking is None or purse.asking.done():
                purse.asking = asyncio.ensure_future(
                    self._ask_for(workspace, purse),
                )
            await asyncio.shield(purse.asking)
        finally:
            purse.waiting -= 1

    async def _ask_for(self, workspace: Workspace, purse: _Purse) -> None:
        wanted = purse.lot_size(self._clock.now())
        grant = await self._ask(workspace, wanted)
        if grant is None:
            grant = self._grant_alone(workspace, purse)
        else:
            self._alone.pop(workspace, None)
            purse.used.add(grant.granted, now=self._clock.now())
        if grant.wait:
            await asyncio.sleep(grant.wait)
        now = self._clock.now()
        if grant.granted:
            purse.tokens += grant.granted
            purse.expires_at = now + LOT_LIFETIME_SECONDS
        else:
            pause = min(grant.retry_after, LONGEST_REFUSAL_SECONDS)
            purse.refused_until = now + max(pause, REFUSED_PAUSE_SECONDS)

    def _grant_alone(self, workspace: Workspace, purse: _Purse) -> Grant:
        """Go on with what this host used while it was counted."""
        tokens = self._alone.get(workspace)
        if tokens is None:
            used = purse.used.rate(now=self._clock.now())
            rate = self._uncounted(workspace, used)
            if rate <= 0:
                return Grant(granted=0, retry_after=1)
            tokens = bucket.TokenBucket(
                rate=rate,
                burst=max(UNCOUNTED_BURST, rate * UNCOUNTED_BURST_SECONDS),
                time_source=self._clock,
            )
            self._alone[workspace] = tokens
        granted, wait = _reserve(tokens, max(1, purse.waiting))
        if granted:
            return Grant(granted=granted, wait=wait)
        return Grant(granted=0, retry_after=tokens.retry_after())
