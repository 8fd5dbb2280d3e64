"""The attempts of one statement: servers tried, pauses and paid repeats."""

import dataclasses
import random

from egretstep import clock
from egretstep.backends import answers, connection
from egretstep.observability import decisions
from egretstep.pooling import failure_answers
from egretstep.pooling import work as work_module
from egretstep.routing import budget

INITIAL_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.15


@dataclasses.dataclass(kw_only=True, slots=True)
class StatementAttempts:
    """The attempts of one statement so far.

    `deadline` is a monotonic time. `tried` holds the servers that were asked,
    and `paid` those for which a repeat was paid from the retry budget.
    `is_denied` tells that the budget did not allow another repeat.
    """

    work: work_module.Work
    deadline: float
    may_read_replica: bool
    backoff: float = INITIAL_BACKOFF_SECONDS
    tried: set[connection.ServerId] = dataclasses.field(default_factory=set)
    paid: set[connection.ServerId] = dataclasses.field(default_factory=set)
    is_denied: bool = False

    def remaining_work(
        self, server: connection.ServerId, now: float
    ) -> work_module.Work:
        """Return the work for an attempt at a server that starts now.

        The attempts before have used up a part of its timeout and target.
        """
        remaining = self.deadline - now
        target = self.work.target
        if target is not None:
            target -= self.work.timeout - remaining
        return dataclasses.replace(
            self.work, server=server, timeout=remaining, target=target
        )

    def next_pause(self, answer: answers.Answer, rng: random.Random) -> float:
        """Return how many seconds to wait before the primary is asked again.

        A full primary says itself when it has room.
        """
        pause = self.backoff * rng.uniform(0.5, 1)
        self.backoff = min(self.backoff * 2, MAX_BACKOFF_SECONDS)
        is_full = answer.code is answers.Code.OVERLOADED and answer.load
        if is_full:
            pause = max(pause, clock.to_seconds(answer.retry_after_ms))
        return pause

    def pay(
        self,
        server: connection.ServerId,
        answer: answers.Answer,
        retry_budget: budget.HostRetryBudget,
    ) -> bool:
        """Pay for a repeat; return false if the budget does not allow it.

        All repeats at one server of a statement that was not sent there cost
        one token, because one that waits for a planned change of its primary
        or owner is repeated many times. A read whose replica is behind is not
        charged: it has cost no server any work, and moves to the primary once.
        """
        is_paid = server in self.paid and not answer.was_sent
        if is_paid or answer.code is answers.Code.BEHIND:
            return True
        if not retry_budget.try_withdraw():
            self.is_denied = True
            decisions.retry_denied(self.work.statement_id, answer)
            return False
        self.paid.add(server)
        return True

    def final(self, answer: answers.Answer) -> answers.Answer:
        """Return an answer for the caller; a denied one tells when to return.

        Without a time, its caller would come back at once.
        """
        may_return = answer.has_no_effect and not answer.retry_after_ms
        if not self.is_denied or not may_return:
            return answer
        return dataclasses.replace(
            answer, retry_after_ms=failure_answers.RETRY_AFTER_MS
        )
