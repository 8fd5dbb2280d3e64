"""Token bucket that can reserve tokens before they are earned."""

from egretstep import clock

LONG_AGO = float('-inf')


class TokenBucket:
    """Token bucket that earns `rate` tokens a second and holds `burst` tokens.

    A request that finds no token may reserve the next one and wait for it.
    Otherwise callers that stay within the rate would be refused whenever two
    of their requests arrive together. In any window of `t` seconds at most
    `burst + rate * t` requests pass. `empty_at` is the monotonic time, in
    seconds, at which the bucket was empty; with the default it starts full.

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
        empty_at: float = LONG_AGO,
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = time_source
        self._tokens = 0.0
        self._refilled_at = empty_at
        self._refill()

    @property
    def tokens(self) -> float:
        """Return the available tokens; negative while some are reserved."""
        self._refill()
        return self._tokens

    def set_limits(self, *, rate: float, burst: float) -> None:
        """Set the rate and burst; tokens above the new burst are dropped."""
        self._refill()
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def reserve(self, *, longest_wait: float) -> float | None:
        """Reserve one token that is due within `longest_wait` seconds.

        Returns the seconds to wait before the request may run, or None, with
        nothing reserved, if the wait would be longer.
        """
        self._refill()
        wait = max(0.0, (1 - self._tokens) / self._rate)
        if wait > longest_wait:
            return None
        self._tokens -= 1
        return wait

    def take(self, wanted: int) -> int:
        """Take up to `wanted` available tokens; return how many were taken."""
        self._refill()
        taken = max(0, min(wanted, int(self._tokens)))
        self._tokens -= taken
        return taken

    def refund(self) -> None:
        """Put back the token of a request that did not run."""
        self._tokens = min(self._burst, self._tokens + 1)

    def retry_after(self) -> float:
        """Return the seconds until a token is available."""
        self._refill()
        return max(0.0, (1 - self._tokens) / self._rate)

    def _refill(self) -> None:
        now = self._clock.now()
        earned = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._refilled_at = now
