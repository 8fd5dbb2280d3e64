"""Retry budget: bounds the load that retries add."""

RETRIES_PER_REQUEST = 0.2
LARGEST_BUDGET = 100.0


class RetryBudget:
    """Each request earns a part of a retry, and each retry costs one.

    >>> budget = RetryBudget(start=0)
    >>> budget.spend()
    False
    """

    def __init__(self, *, start: float = LARGEST_BUDGET) -> None:
        self._balance = start

    def earn(self) -> None:
        """Note a request."""
        earned = self._balance + RETRIES_PER_REQUEST
        self._balance = min(LARGEST_BUDGET, earned)

    def spend(self) -> bool:
        """Take one retry; returns whether the budget allowed it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
