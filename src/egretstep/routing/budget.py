"""Retry budgets, which limit retries to a share of the requests.

Load pattern: a server or host is lost, and each statement that it doesn't
answer would be sent again elsewhere, which multiplies the load of the others.
"""

from egretstep import clock

RETRIES_PER_REQUEST = 0.2
MAX_BALANCE = 100.0
# While a service is handed over, all its statements of up to a second wait and
# are repeated. What this period saves pays for two such seconds.
SAVING_PERIOD_SECONDS = 10.0
MIN_HOST_BALANCE = 50.0
RATE_PERIOD_SECONDS = 1.0
RATE_SMOOTHING = 0.2


class RetryBudget:
    """Balance that each request adds to and each retry is paid from.

    `max_balance` is the most that can be saved.

    >>> budget = RetryBudget(initial_balance=0)
    >>> budget.try_withdraw()
    False
    """

    def __init__(
        self,
        *,
        initial_balance: float = MAX_BALANCE,
        max_balance: float = MAX_BALANCE,
    ) -> None:
        self._balance = initial_balance
        self.max_balance = max_balance

    def deposit(self) -> None:
        """Add the share of a retry that one request allows."""
        balance = self._balance + RETRIES_PER_REQUEST
        self._balance = min(self.max_balance, balance)

    def try_withdraw(self) -> bool:
        """Pay for one retry; return false if the balance is too low."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class HostRetryBudget:
    """Retry budget of a host, whose largest balance follows its request rate.

    A host can save what the requests of `SAVING_PERIOD_SECONDS` add, and at
    least `MIN_HOST_BALANCE`.
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._budget = RetryBudget()
        self._period_started_at = time_source.now()
        self._request_count = 0
        self._rate: float | None = None

    def deposit(self) -> None:
        """Add the share of a retry that one request allows."""
        elapsed = self._clock.now() - self._period_started_at
        if elapsed >= RATE_PERIOD_SECONDS:
            self._update_limit(elapsed)
        self._request_count += 1
        self._budget.deposit()

    def try_withdraw(self) -> bool:
        """Pay for one retry; return false if the balance is too low."""
        return self._budget.try_withdraw()

    def _update_limit(self, elapsed: float) -> None:
        latest = self._request_count / elapsed
        if self._rate is None:
            self._rate = latest
        self._rate += RATE_SMOOTHING * (latest - self._rate)
        savings = self._rate * SAVING_PERIOD_SECONDS * RETRIES_PER_REQUEST
        self._budget.max_balance = max(MIN_HOST_BALANCE, savings)
        self._period_started_at += elapsed
        self._request_count = 0
