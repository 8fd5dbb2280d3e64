"""Token bucket whose tokens can be reserved a little ahead."""

from egretstep import clock

ALWAYS = float('-inf')


class TokenBucket:
    """Tokens that come at a rate, up to a burst.

    A request that finds no token may reserve the next one and wait for it,
    so that callers within the rate are not refused because two of them came
    at once. In any window of `t` seconds no more than `burst + rate * t`
    requests pass. The bucket was empty at `earning_since`, a monotonic time;
    by default that was so long ago that it is full.

    >>> source = clock.ManualClock()
    >>> bucket = TokenBucket(rate=10, burst=1, time_source=source)
    >>> bucket.reserve(longest_wait=0)
    0.0
    >>> bucket.reserve(longest_wait=0) is None
    True
    >>> round(bucket.retry_after(), 3)
    0.1
    """

    def __init__(
        self,
        *,
        rate: float,
        burst: float,
        time_source: clock.Clock,
        earning_since: float = ALWAYS,
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = time_source
        self._tokens = 0.0
        self._refilled_at = earning_since
        self._refill()

    @property
    def tokens(self) -> float:
        """Return the tokens at hand; below zero when some are reserved."""
        self._refill()
        return self._tokens

    def change(self, *, rate: float, burst: float) -> None:
        """Use another rate and burst; tokens at hand are kept below it."""
        self._refill()
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def reserve(self, *, longest_wait: float) -> float | None:
        """Take one token, now or within a number of seconds.

        Returns the seconds to wait before the request may run, or none
        when that would be too long; then nothing was taken.
        """
        self._refill()
        wait = max(0.0, (1 - self._tokens) / self._rate)
        if wait > longest_wait:
            return None
        self._tokens -= 1
        return wait

    def take(self, wanted: int) -> int:
        """Take up to a number of whole tokens that are at hand."""
        self._refill()
        taken = max(0, min(wanted, int(self._tokens)))
        self._tokens -= taken
        return taken

    def give_back(self) -> None:
        """Return a token whose request did not run."""
        self._tokens = min(self._burst, self._tokens + 1)

    def retry_after(self) -> float:
        """Return in how many seconds there will be a token."""
        self._refill()
        return max(0.0, (1 - self._tokens) / self._rate)

    def _refill(self) -> None:
        now = self._clock.now()
        earned = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._refilled_at = now
