"""A host that stops as planned finishes the sessions it has accepted.

Callers keep connecting while the host stops. Sessions therefore begin until
the moment at which the host refuses new ones.
"""

import asyncio
import unittest

from egretstep.membership import host_rows
from egretstep.programs import graceful_shutdown
from egretstep.supervision import stop_deadline
from tests import platform_fakes, virtual_time

GRACE_SECONDS = 6.0
REQUEST_SECONDS = 0.2
CONNECT_INTERVAL_SECONDS = 0.25
CONNECTION_COUNT = 100


class _Callers:
    """Starts a session with one request at regular intervals.

    `cut_count` is how many requests were neither answered nor ended when the
    host saw their number last.
    """

    def __init__(
        self,
        *,
        connections: int = CONNECTION_COUNT,
        request_seconds: float = REQUEST_SECONDS,
    ) -> None:
        self.clock = virtual_time.LoopClock()
        self.is_accepting = True
        self.has_ended = False
        self.cut_count = 0
        self._connections = connections
        self._request_seconds = request_seconds
        self._stopped_at = float('inf')

    def stop_accepting(self) -> None:
        self.is_accepting = False
        self._stopped_at = self.clock.now()

    def close_idle(self) -> int:
        """Return how many requests have not been answered yet."""
        self.cut_count = 0 if self.has_ended else self._unanswered()
        return self.cut_count

    def close_unanswered(self) -> int:
        """Return the same: every session has a request."""
        return self.close_idle()

    def _unanswered(self) -> int:
        now = self.clock.now()
        start_times = (
            index * CONNECT_INTERVAL_SECONDS
            for index in range(self._connections)
        )
        return sum(
            started_at <= min(now, self._stopped_at)
            and now < started_at + self._request_seconds
            for started_at in start_times
        )


class _Statements:
    """Statements that run until a time, or until the host ends them."""

    def __init__(
        self, callers: _Callers | None = None, *, ends_at: float = 0
    ) -> None:
        self.ended_at = 0.0
        self._callers = callers
        self._ends_at = ends_at
        self._clock = virtual_time.LoopClock()

    @property
    def count(self) -> int:
        return int(self._clock.now() < self._ends_at)

    async def end(self) -> None:
        self.ended_at = self._clock.now()
        if self._callers:
            self._callers.has_ended = True


class GracefulShutdownTest(unittest.TestCase):
    def test_accepted_sessions_are_not_cut(self) -> None:
        callers = _Callers()
        virtual_time.run(self._stop(callers))
        self.assertEqual(callers.cut_count, 0)

    def test_a_statement_that_runs_is_waited_for_and_then_answered(
        self,
    ) -> None:
        """It was cut 1 s before the end of the grace time (review/10)."""
        callers = _Callers(request_seconds=60)
        statements = _Statements(callers)
        virtual_time.run(self._stop(callers, statements))
        self.assertGreater(statements.ended_at, GRACE_SECONDS * 5 / 6)
        self.assertEqual(callers.cut_count, 0)

    def test_statements_of_other_hosts_are_waited_for(self) -> None:
        """Only the sessions of this host's own callers were."""
        callers = _Callers(connections=0)
        statements = _Statements(ends_at=3)
        virtual_time.run(self._stop(callers, statements))
        self.assertEqual(statements.ended_at, 0)

    def test_what_does_not_fit_into_the_rest_is_not_taken_on(self) -> None:
        callers = _Callers(connections=0)

        async def check() -> None:
            stopping = asyncio.ensure_future(
                self._stop(callers, _Statements(ends_at=5))
            )
            await asyncio.sleep(1)
            # Callers can't know of the stop yet.
            self.assertTrue(self.deadline.allows(60))
            await asyncio.sleep(3)
            self.assertTrue(self.deadline.allows(1))
            self.assertFalse(self.deadline.allows(2))
            await stopping

        virtual_time.run(check())

    async def _stop(
        self, callers: _Callers, statements: _Statements | None = None
    ) -> None:
        statements = statements or _Statements()
        self.deadline = stop_deadline.StopDeadline(time_source=callers.clock)
        stop = graceful_shutdown.GracefulShutdown(
            registration=host_rows.Registration(
                store=platform_fakes.FakeTables(),
            ),
            own=platform_fakes.host('own'),
            departure=graceful_shutdown.Departure(
                hand_over=_return_at_once, leave_voters=_return_at_once
            ),
            sessions=callers,
            statements=statements,
            stop=self.deadline,
            grace=GRACE_SECONDS,
            time_source=callers.clock,
        )
        await stop.drain()
        await stop.linger()
        self.assertFalse(callers.is_accepting)
        self.assertLess(callers.clock.now(), GRACE_SECONDS)


async def _return_at_once(_deadline: float) -> None:
    """Return, as if there were no tasks and no other voters."""
