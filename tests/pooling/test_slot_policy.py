"""Guards against a wrong order of the statements that wait for a server.

Load pattern: a backlog of several priority levels, partly beyond its target.
"""

import unittest

from egretstep import clock, identifiers
from egretstep.pooling import (
    service_times,
    slot_policy,
    slot_requests,
    wait_band,
)

SLOTS = 6
SERVICE_SECONDS = 0.03
DEPOT = identifiers.WorkspaceName('depot')
BUSY = identifiers.WorkspaceName('busy')
QUIET = identifiers.WorkspaceName('quiet')


class SlotPolicyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=100)
        self.policy = slot_policy.FairPolicy(time_source=self.clock)
        for level in range(4):
            self._serve_one(level)

    def _serve_one(self, level: int, *, is_late: bool = False) -> None:
        self.policy.charge(
            workspace=DEPOT, weight=1, level=level, is_late=is_late
        ).settle(SERVICE_SECONDS)

    def _admit(
        self,
        level: int = 0,
        *,
        target: float | None = None,
        limit: float = 1e6,
        workspace: identifiers.WorkspaceName = DEPOT,
    ) -> slot_requests.Rejection | None:
        now = self.clock.now()
        return self.policy.admit(
            slot_requests.SlotRequest(
                workspace=workspace,
                weight=1,
                level=level,
                deadline=now + limit,
                target_at=None if target is None else now + target,
            ),
            SLOTS,
        )

    def _served(self, count: int) -> list[slot_requests.SlotRequest]:
        served = []
        for _ in range(count):
            request = self.policy.take_next()
            self._serve_one(request.level, is_late=request.is_late)
            served.append(request)
        return served

    def test_levels_share_four_to_one(self) -> None:
        for number in range(200):
            self._admit(number % 2)
        levels = [request.level for request in self._served(100)]
        self.assertAlmostEqual(levels.count(0), 80, delta=3)

    def test_a_busy_workspace_does_not_win_ties(self) -> None:
        """It came first, and all virtual starts are the same."""
        for _ in range(5):
            self._admit(2, workspace=BUSY)
        self._admit(2, workspace=QUIET)
        self.assertEqual(self._served(1)[0].workspace, QUIET)

    def test_an_idle_level_has_no_credit(self) -> None:
        for _ in range(200):
            self._admit(0)
        self._served(100)
        for _ in range(100):
            self._admit(1)
        levels = [request.level for request in self._served(20)]
        self.assertAlmostEqual(levels.count(1), 4, delta=2)

    def test_late_statements_are_behind_all_levels_and_not_starved(
        self,
    ) -> None:
        for _ in range(200):
            self._admit(0, target=0)
            self._admit(3)
        late = [request for request in self._served(105) if request.is_late]
        self.assertAlmostEqual(len(late), 5, delta=2)

    def test_statement_becomes_late_when_its_target_has_passed(self) -> None:
        self._admit(0, target=0.5)
        self._admit(1, target=10)
        self.clock.advance(0.6)
        self.policy.review(SLOTS)
        self.assertEqual(self.policy.late_counts[:2], [1, 0])
        self.assertEqual(self._served(1)[0].level, 1)

    def test_a_burst_is_judged_before_the_rate_is_known(self) -> None:
        rejected = sum(self._admit(limit=1) is not None for _ in range(300))
        served_within_limit = SLOTS / SERVICE_SECONDS
        self.assertAlmostEqual(300 - rejected, served_within_limit, delta=50)

    def test_low_level_is_judged_by_its_own_rate(self) -> None:
        """The server grants many slots, but few of them to this level."""
        for _ in range(30):
            self._admit(1)
        for _ in range(100):
            self._admit(0)
            self.clock.advance(0.01)
            self._served(1)
        rejection = self._admit(1, limit=0.5)
        self.assertIsNotNone(rejection)
        self.assertIsNone(self._admit(0, limit=0.5))

    def test_a_statement_is_rejected_while_it_waits(self) -> None:
        for _ in range(20):
            self._admit(limit=3)
        for _ in range(5):
            self.clock.advance(0.4)
            self._served(1)
        rejected = self.policy.review(SLOTS)
        self.assertGreater(len(rejected), 8)
        self.assertEqual(self.policy.waiting, 15 - len(rejected))

    def test_a_long_transaction_does_not_starve_its_workspace(self) -> None:
        """Guards against a charge without a bound for a statement at a lock.

        Its time is known only when it ends, after the charge in advance.
        """
        charge = self.policy.charge(
            workspace=BUSY, weight=1, level=0, has_waited=False
        )
        for _ in range(100):
            self._admit(0, workspace=BUSY)
            self._admit(0, workspace=QUIET)
        charge.settle(30)
        workspaces = []
        for _ in range(80):
            workspaces.append(self.policy.take_next().workspace)
            self.policy.charge(
                workspace=workspaces[-1], weight=1, level=0
            ).settle(SERVICE_SECONDS)
        self.assertGreater(workspaces.count(BUSY), 15)

    def test_workspaces_that_left_are_forgotten(self) -> None:
        """Guards against an entry for each workspace that ever sent."""
        for number in range(100):
            self.policy.charge(
                workspace=identifiers.WorkspaceName(f'w{number}'),
                weight=1,
                level=0,
            ).settle(SERVICE_SECONDS)
        band = self.policy._timely.bands[0]
        self.assertGreater(len(band._flows), 100)
        self.clock.advance(wait_band.IDLE_FLOW_SECONDS + 1)
        self.policy.forget_idle()
        self.assertEqual(len(band._flows), 0)


class ServiceTimesTest(unittest.TestCase):
    def test_the_means_of_workspaces_are_bounded(self) -> None:
        """Guards against a mean for each workspace that ever sent."""
        times = service_times.ServiceTimes()
        times.record(0, DEPOT, 0.01)
        for number in range(service_times.MAX_WORKSPACE_MEANS):
            times.record(0, identifiers.WorkspaceName(f'w{number}'), 0.05)
        self.assertEqual(
            len(times._workspaces), service_times.MAX_WORKSPACE_MEANS
        )
        self.assertEqual(times.of_workspace(0, DEPOT), times.of_level(0))
