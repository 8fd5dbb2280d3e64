"""Start-time fair queueing between the members of one group.

Each member has a virtual time that grows by the service time it used, divided
by its weight. The member with the smallest virtual start is served next. A
member that was idle starts at the group's virtual time, without credit for
the past.
"""

import dataclasses

# How far a member's statements that do not queue can put it behind the
# others. Without a bound, a workspace with many open transactions would get no
# slot for as long as they had run.
MAX_LEAD_SECONDS = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Account:
    """Virtual time of one member, in seconds of service for each weight."""

    weight: float = 1
    virtual_finish: float = 0


class FairShare:
    """The virtual time of a group.

    >>> group = FairShare()
    >>> busy, idle = Account(), Account()
    >>> group.charge(busy, 0.02)
    >>> group.start_of(busy), group.start_of(idle)
    (0.02, 0)
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0

    def start_of(self, account: Account) -> float:
        """Return the virtual start of the member's next statement."""
        return max(account.virtual_finish, self._virtual_time)

    def lead_of(self, account: Account) -> float:
        """Return how far the member is ahead of the group's virtual time."""
        return self.start_of(account) - self._virtual_time

    def enter(self, account: Account, seconds: float) -> None:
        """Let a member that was idle wait for its share before it is served.

        Without this, its next statement would be as near as that of the
        others, whatever its weight. `seconds` is a statement's service time.
        """
        account.virtual_finish = max(
            account.virtual_finish,
            self._virtual_time + seconds / account.weight,
        )

    def charge(self, account: Account, seconds: float) -> None:
        """Charge a statement that was served in the fair order."""
        self._virtual_time = self.start_of(account)
        account.virtual_finish = self._virtual_time + seconds / account.weight

    def charge_out_of_order(self, account: Account, seconds: float) -> None:
        """Charge a statement that ran while others had to wait.

        The group's virtual time stays, so that the others keep their place.
        """
        finish = self.start_of(account) + seconds / account.weight
        limit = self._virtual_time + MAX_LEAD_SECONDS / account.weight
        account.virtual_finish = max(account.virtual_finish, min(finish, limit))

    def correct_out_of_order(self, account: Account, seconds: float) -> None:
        """Add what a statement that ran out of order took beyond its charge.

        `seconds` is negative if it took less.
        """
        limit = self._virtual_time + MAX_LEAD_SECONDS / account.weight
        finish = account.virtual_finish + seconds / account.weight
        account.virtual_finish = min(finish, max(limit, account.virtual_finish))
