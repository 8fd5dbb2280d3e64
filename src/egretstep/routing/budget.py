"""Retry budgets, which limit retries to a share of the requests.

Load pattern: a server or host is lost, and each statement that it doesn't
answer would be sent again elsewhere, which multiplies the load of the others.
"""

from egretstep import clock

RETRIES_PER_REQUEST = 0.2
MAX_BALANCE = 100.0
# While a service is handed over, all statements of up to two seconds wait and
# are repeated. The requests of this period pay for them.
SAVING_PERIOD_SECONDS = 10.0
MIN_HOST_BALANCE = 50.0


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

    def deposit(self) -> None:
        """Add the share of a retry that one request allows."""
        now = self._clock.now()
        elapsed = now - self._period_started_at
        if elapsed >= SAVING_PERIOD_SECONDS:
            rate = self._request_count / elapsed
            savings = rate * SAVING_PERIOD_SECONDS * RETRIES_PER_REQUEST
            self._budget.max_balance = max(MIN_HOST_BALANCE, savings)
            self._period_started_at = now
            self._request_count = 0
        self._request_count += 1
        self._budget.deposit()

    def try_withdraw(self) -> bool:
        """Pay for one retry; return false if the balance is too low."""
        return self._budget.try_withdraw()
