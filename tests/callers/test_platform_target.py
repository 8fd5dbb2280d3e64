"""Guards against targets that count the pauses of a transaction's caller.

Load pattern: transactions whose callers think between their statements.
"""

import asyncio
import dataclasses
import unittest.mock

from egretstep import clock, identifiers
from egretstep.backends import answers
from egretstep.callers import platform_session, session_services
from egretstep.observability import decisions
from egretstep.platform import wire
from egretstep.pooling import work as work_module
from egretstep.routing import dispatcher
from egretstep.settings import deployment
from egretstep.supervision import stop_deadline
from tests import platform_fakes, virtual_time

DATABASE = identifiers.DatabaseName('loans')
KEY = 'key-of-depot'
TARGET_SECONDS = 0.5
STATEMENT_SECONDS = 0.1
OPENS_NOTHING = work_module.Opens.NOTHING
ROUTE = deployment.Route(
    database=DATABASE,
    service=platform_fakes.SERVICE,
    consistency=deployment.Consistency.PRIMARY,
    timeout=1,
    target=TARGET_SECONDS,
)


class _Dispatcher:
    """Answers each statement after `STATEMENT_SECONDS`; keeps the targets."""

    def __init__(self) -> None:
        self.targets: list[float | None] = []

    async def dispatch(self, work: work_module.Work) -> dispatcher.Dispatched:
        return dispatcher.Dispatched(
            answer=await self.run_in_transaction(
                identifiers.HostName('host-1'), work
            ),
            host=identifiers.HostName('host-1'),
        )

    async def run_in_transaction(
        self, host: identifiers.HostName, work: work_module.Work
    ) -> answers.Answer:
        self.targets.append(work.target)
        await asyncio.sleep(STATEMENT_SECONDS)
        return answers.Answer(is_pinned=work.opens is not OPENS_NOTHING)


class TargetTest(virtual_time.VirtualTimeTestCase):
    def _start_session(
        self, route: deployment.Route = ROUTE
    ) -> platform_session.PlatformSession:
        current = dataclasses.replace(
            deployment.EMPTY,
            routes={DATABASE: route},
            workspaces_by_key={KEY: platform_fakes.DEPOT},
        )
        self.dispatcher = _Dispatcher()
        limiter = unittest.mock.AsyncMock()
        limiter.admit.return_value = None
        return platform_session.PlatformSession(
            database=DATABASE,
            key=KEY,
            services=session_services.SessionServices(
                current_deployment=lambda: current,
                dispatcher=self.dispatcher,
                rate_limiter=limiter,
                release_here=unittest.mock.MagicMock(),
                stop=stop_deadline.StopDeadline(
                    time_source=clock.MonotonicClock()
                ),
                is_configured=asyncio.Event(),
            ),
            parse_prepared=wire.parse_prepared,
        )

    async def _run(
        self, session: platform_session.PlatformSession, *texts: bytes
    ) -> None:
        for text in texts:
            answer = await session.handle(b'id', wire.parse_command(text))
            self.assertTrue(answer.is_ok, text)
            await asyncio.sleep(1)

    async def test_pauses_of_a_transaction_do_not_count(self) -> None:
        session = self._start_session()
        await self._run(session, b'BEGIN', b'READ a', b'WRITE a 1')
        self.assertEqual(len(self.dispatcher.targets), 2)
        self.assertAlmostEqual(self.dispatcher.targets[0], TARGET_SECONDS)
        self.assertAlmostEqual(
            self.dispatcher.targets[1], TARGET_SECONDS - STATEMENT_SECONDS
        )

    async def test_each_operation_of_one_statement_has_its_own(self) -> None:
        session = self._start_session()
        await self._run(session, b'READ a', b'READ a')
        self.assertEqual(self.dispatcher.targets, [TARGET_SECONDS] * 2)

    async def test_a_route_without_a_target(self) -> None:
        session = self._start_session(dataclasses.replace(ROUTE, target=0))
        await self._run(session, b'BEGIN', b'READ a')
        self.assertEqual(self.dispatcher.targets, [None])

    async def test_only_a_missed_target_is_logged(self) -> None:
        """Guards against a log line for each statement without a target."""
        for target, count in ((0, 0), (TARGET_SECONDS, 0), (0.05, 1)):
            session = self._start_session(
                dataclasses.replace(ROUTE, target=target)
            )
            with unittest.mock.patch.object(decisions, 'late') as late:
                await self._run(session, b'READ a')
            self.assertEqual(late.call_count, count, target)
