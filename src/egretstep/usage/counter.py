"""Counts the operations that this host sends to backend servers.

An operation is a statement outside a transaction, or a transaction. It counts
in the window in which its first statement was sent, once the answer or the
loss of the answer shows that the server did not reject it unrun.
"""

import collections
import typing

from egretstep import identifiers
from egretstep.backends import answers
from egretstep.pooling import work as work_module
from egretstep.usage import window_clock

# Hosts keep the counts of recent windows for a holder that is yet to come.
RETENTION_SECONDS = 60.0
_SYSTEM_ID = b'-'
# The codes with which a server says that it did not run a statement.
_NOT_RUN_CODES = frozenset((
    answers.Code.OVERLOADED,
    answers.Code.BEHIND,
    answers.Code.NOT_PRIMARY,
    answers.Code.WRONG_SERVER,
    answers.Code.TOO_MANY_CONNECTIONS,
    answers.Code.NO_PREPARED,
))

Counts = typing.Mapping[identifiers.WorkspaceName, int]
Rule = typing.Callable[[work_module.Work, answers.Code | None], bool]


def counts_statement(work: work_module.Work, code: answers.Code | None) -> bool:
    """Return whether a statement that was sent counts.

    `code` is that of the server's answer, None if the answer was lost.
    """
    if work.workspace == identifiers.ANONYMOUS_WORKSPACE:
        return False
    return work.statement_id != _SYSTEM_ID and code not in _NOT_RUN_CODES


def counts_operation(work: work_module.Work, code: answers.Code | None) -> bool:
    """Return whether a statement counts if a transaction counts once.

    That is with its first statement, which opens it.
    """
    return not work.is_pinned and counts_statement(work, code)


class UsageCounter:
    """The cumulative counts of this host for the recent windows."""

    def __init__(
        self,
        *,
        windows: window_clock.WindowClock,
        rule: Rule = counts_operation,
    ) -> None:
        self._windows = windows
        self._is_counted = rule
        self._counts: dict[
            int, collections.Counter[identifiers.WorkspaceName]
        ] = {}

    async def counted(
        self,
        work: work_module.Work,
        running: typing.Awaitable[answers.Answer],
    ) -> answers.Answer:
        """Send a statement by awaiting `running`, and return its answer."""
        window = self._windows.window()
        code = None
        try:
            answer = await running
            code = answer.code
        finally:
            if self._is_counted(work, code):
                counts = self._counts.setdefault(window, collections.Counter())
                counts[work.workspace] += 1
        return answer

    def recent(self) -> typing.Mapping[int, Counts]:
        """Return the counts of each recent window that has any."""
        self._counts = {
            window: counts
            for window, counts in self._counts.items()
            if self._windows.seconds_since_end(window) < RETENTION_SECONDS
        }
        return self._counts
