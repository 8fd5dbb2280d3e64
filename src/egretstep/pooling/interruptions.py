"""Ends statements at once when their server is no longer to run them.

Load pattern: a primary is replaced while statements run and wait there. They
must neither reach it nor be answered by it once another server may lead. Or
this host stops, and has no time left to wait for them.
"""

import asyncio
import contextlib
import typing

from egretstep.pooling import work as work_module


class Interruptions:
    """The statements that run or wait at one server."""

    def __init__(self) -> None:
        self._active: dict[asyncio.Timeout, work_module.Work] = {}
        self._reason = ''

    @property
    def reason(self) -> str:
        """Return why statements were interrupted last."""
        return self._reason

    @contextlib.asynccontextmanager
    async def guarded(
        self, work: work_module.Work
    ) -> typing.AsyncGenerator[None, None]:
        """Run the block so that `interrupt` can end it.

        Raises `TimeoutError` when it was interrupted.
        """
        limit = asyncio.timeout(None)
        self._active[limit] = work
        try:
            async with limit:
                yield
        finally:
            del self._active[limit]

    def interrupt(
        self,
        is_concerned: typing.Callable[[work_module.Work], bool],
        reason: str,
    ) -> int:
        """End the blocks of the statements for which a function is true.

        They end when the event loop runs next. Returns their number.
        """
        self._reason = reason
        now = asyncio.get_running_loop().time()
        concerned = [
            limit
            for limit, work in self._active.items()
            if is_concerned(work) and not limit.expired()
        ]
        for limit in concerned:
            limit.reschedule(now)
        return len(concerned)
