"""Statements that other hosts send here, charged to the clients' budget.

Load pattern: clients send large messages through many hosts at once, and all
of them are for a service that this host owns.
"""

import dataclasses

from egretstep.backends import answers
from egretstep.callers import client_limits
from egretstep.pooling import failure_answers, local_host
from egretstep.pooling import work as work_module
from egretstep.supervision import stop_deadline


class RemoteStatements:
    """Runs statements of other hosts while there is room for them."""

    def __init__(
        self,
        *,
        local: local_host.LocalHost,
        budget: client_limits.ByteBudget,
        stop: stop_deadline.StopDeadline,
    ) -> None:
        self._local = local
        self._budget = budget
        self._stop = stop

    async def execute(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
    ) -> answers.Answer:
        """Run a statement and return its answer.

        A large one is refused if there is no room for it beside the messages
        of the callers of this host. One that a stopping host has no time for
        is refused, so that the other host can send it elsewhere.
        """
        if not self._stop.allows(work.timeout):
            return failure_answers.stopping(work)
        size = len(work.command.text)
        if size <= client_limits.SMALL_MESSAGE_BYTES:
            return await self._local.execute(work, link)
        account = self._budget.open(_keep)
        if not account.charge(size):
            refusal = answers.refusal(
                answers.Code.OVERLOADED,
                'large messages take too much memory',
                retry_after_ms=client_limits.RETRY_AFTER_MS,
            )
            # An open transaction stays open until the other host ends it.
            return dataclasses.replace(refusal, is_pinned=work.is_pinned)
        try:
            return await self._local.execute(work, link)
        finally:
            account.release()


def _keep() -> None:
    """Keep a statement that runs; its account never waits for a client."""
