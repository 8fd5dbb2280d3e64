"""A host that stops as planned finishes the sessions it has accepted.

Callers keep connecting while the host stops. Sessions therefore begin until
the moment at which the host refuses new ones.
"""

import unittest

from egretstep.membership import host_rows
from egretstep.programs import graceful_shutdown
from tests import platform_fakes, virtual_time

GRACE_SECONDS = 6.0
REQUEST_SECONDS = 0.2
CONNECT_INTERVAL_SECONDS = 0.25
CONNECTION_COUNT = 100


class _Callers:
    """Starts a session with one request at regular intervals."""

    def __init__(self) -> None:
        self.clock = virtual_time.LoopClock()
        self.is_accepting = True
        self._stopped_at = float('inf')

    def stop_accepting(self) -> None:
        self.is_accepting = False
        self._stopped_at = self.clock.now()

    def close_idle(self) -> int:
        """Return how many requests have not been answered yet."""
        now = self.clock.now()
        start_times = (
            index * CONNECT_INTERVAL_SECONDS
            for index in range(CONNECTION_COUNT)
        )
        return sum(
            started_at <= min(now, self._stopped_at)
            and now < started_at + REQUEST_SECONDS
            for started_at in start_times
        )


class GracefulShutdownTest(unittest.TestCase):
    def test_accepted_sessions_are_not_cut(self) -> None:
        virtual_time.run(self._stop())

    async def _stop(self) -> None:
        callers = _Callers()
        stop = graceful_shutdown.GracefulShutdown(
            registration=host_rows.Registration(
                store=platform_fakes.FakeTables(),
            ),
            own=platform_fakes.host('own'),
            hand_over=_return_at_once,
            leave_voters=_return_at_once,
            close_idle=callers.close_idle,
            stop_accepting=callers.stop_accepting,
            grace_ends_at=callers.clock.now() + GRACE_SECONDS,
            time_source=callers.clock,
        )
        await stop.drain()
        await stop.linger()
        self.assertFalse(callers.is_accepting)
        self.assertEqual(callers.close_idle(), 0)


async def _return_at_once(_deadline: float) -> None:
    """Return, as if there were no tasks and no other voters."""
