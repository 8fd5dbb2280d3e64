"""Long polls of the store, and the signs that one will never be answered.

A poll over a connection that went silent looks like one without changes until
it times out. The answers to other calls show that earlier: the store was
restored, answers again after it did not, or has had a change for longer than
it takes to answer a poll.
"""

import asyncio
import typing

from egretstep.storage import tables

# The change may be in another table, so that a poll may also rightly have no
# answer by then. It is then sent again.
MISSED_CHANGE_SECONDS = 1.5
_Answer = typing.TypeVar('_Answer')


class PendingPoll:
    """A poll of one table for the changes after a version."""

    def __init__(self, *, table: str, after: tables.Version) -> None:
        self._after = after
        self._reason: asyncio.Future[typing.Any] = (
            asyncio.get_running_loop().create_future()
        )
        self._end_timer: asyncio.TimerHandle | None = None
        self.table = table

    async def run(
        self, call: typing.Coroutine[typing.Any, typing.Any, _Answer]
    ) -> _Answer:
        """Return the answer to the call that makes the poll.

        Raises what the call raises, and `tables.PollEndedError` if the poll is
        ended before.
        """
        calling: asyncio.Future[typing.Any] = asyncio.ensure_future(call)
        try:
            await asyncio.wait(
                (calling, self._reason),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if calling.done():
                return calling.result()
            raise tables.PollEndedError(
                f'{self._reason.result()}; table {self.table} is polled for '
                f'changes after version {self._after}; poll again',
            )
        finally:
            calling.cancel()
            self._discard()

    def end(self, reason: str) -> None:
        """End the poll, because its answer may never come."""
        if not self._reason.done():
            self._reason.set_result(reason)

    def record_version(self, newest: tables.Version) -> None:
        """Record a version of the store that another call has shown.

        The poll ends a while after the first one that is later than its own.
        """
        if newest > self._after and self._end_timer is None:
            self._end_timer = asyncio.get_running_loop().call_later(
                MISSED_CHANGE_SECONDS,
                self.end,
                f'the store has been at version {newest} for '
                f'{MISSED_CHANGE_SECONDS} s',
            )

    def _discard(self) -> None:
        self._reason.cancel()
        if self._end_timer:
            self._end_timer.cancel()


class PendingPolls:
    """The polls of one client of the store."""

    def __init__(self) -> None:
        self._pending: set[PendingPoll] = set()

    async def run(
        self,
        call: typing.Coroutine[typing.Any, typing.Any, _Answer],
        *,
        table: str,
        after: tables.Version,
    ) -> _Answer:
        """Make a poll; raises what `PendingPoll.run` raises."""
        poll = PendingPoll(table=table, after=after)
        self._pending.add(poll)
        try:
            return await poll.run(call)
        finally:
            self._pending.discard(poll)

    def end_all(self, reason: str) -> None:
        """End all polls, because their answers may never come."""
        for poll in self._pending:
            poll.end(reason)

    def record_version(self, newest: tables.Version) -> None:
        """Record a version of the store that an answer has shown."""
        for poll in self._pending:
            poll.record_version(newest)
