"""An event loop on virtual time, so that tests of load run without waiting."""

import asyncio
import selectors
import typing
import unittest
from unittest import mock


class _VirtualSelector(selectors.SelectSelector):
    """Advances virtual time by the timeout instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed = 0.0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Add the timeout to `elapsed` and return the events that are ready."""
        self.elapsed += max(0.0, timeout or 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that runs timers in order without waiting for them."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds since the start."""
        return self._virtual_selector.elapsed


class LoopClock:
    """A clock that reads the time of the running loop."""

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()


Result = typing.TypeVar('Result')


def run(
    coroutine: typing.Coroutine[typing.Any, typing.Any, Result],
) -> Result:
    """Run a coroutine on virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


class _VirtualLoopPolicy(asyncio.DefaultEventLoopPolicy):
    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        return VirtualLoop()


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case on virtual time, which `clock.MonotonicClock` shows too.

    A busy machine delays nothing in it. Only for tests without sockets and
    threads.
    """

    def run(
        self,
        result: unittest.TestResult | None = None,
    ) -> unittest.TestResult | None:
        """Run the test in a loop on virtual time."""
        asyncio.set_event_loop_policy(_VirtualLoopPolicy())
        try:
            return super().run(result)
        finally:
            asyncio.set_event_loop_policy(None)

    async def asyncSetUp(self) -> None:
        """Let the monotonic clock show the time of the loop."""
        loop = asyncio.get_running_loop()
        patch = mock.patch('time.monotonic', loop.time)
        patch.start()
        self.addCleanup(patch.stop)
