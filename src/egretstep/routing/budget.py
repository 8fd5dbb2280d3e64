"""Retry budget, which limits retries to a share of the requests."""

RETRIES_PER_REQUEST = 0.2
MAX_BALANCE = 100.0


class RetryBudget:
    """Balance that each request adds to and each retry is paid from.

    >>> budget = RetryBudget(initial_balance=0)
    >>> budget.try_withdraw()
    False
    """

    def __init__(self, *, initial_balance: float = MAX_BALANCE) -> None:
        self._balance = initial_balance

    def deposit(self) -> None:
        """Add the share of a retry that one request allows."""
        balance = self._balance + RETRIES_PER_REQUEST
        self._balance = min(MAX_BALANCE, balance)

    def try_withdraw(self) -> bool:
        """Pay for one retry; return false if the balance is too low."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
