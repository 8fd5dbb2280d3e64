"""The usage task among the tasks of a host.

A service may have the name of the task. A call that is still under way when
the task is handed over could reach the platform after one of the successor.
"""

import unittest
from unittest import mock

from egretstep import clock
from egretstep.membership import claims, directory
from egretstep.programs import tasks, usage_service
from tests import platform_fakes


class UsageTaskTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.steps = mock.Mock()
        self.steps.usage.is_enabled = True
        self.steps.usage.stop = mock.AsyncMock()
        self.steps.keeper.hand_over = mock.AsyncMock()
        hosts = directory.Directory(
            own=platform_fakes.host('own'),
            time_source=clock.ManualClock(),
        )
        hosts._hosts.update({
            name: platform_fakes.host(name) for name in ('own', 'other')
        })
        self.claim = claims.Claim(
            task=tasks.USAGE_TASK,
            host=platform_fakes.host('own').host,
            boot=1,
            epoch=3,
        )
        self.steps.keeper.known = {self.claim.task: self.claim}
        self.tasks = tasks.FleetTasks(
            keeper=self.steps.keeper,
            renewal=mock.Mock(store_answers=True),
            hosts=hosts,
            servers=mock.Mock(revision=1),
            broker_table=mock.Mock(),
            make_failover=mock.Mock(),
            current_deployment=mock.Mock(
                return_value=mock.Mock(services={}, workspaces={})
            ),
            time_source=clock.ManualClock(),
        )
        self.tasks.add_usage_task(self.steps.usage)
        self.service = mock.Mock(stop=mock.AsyncMock())
        self.tasks._owners['usage'] = self.service

    def test_the_fleet_runs_it_where_reports_are_owed(self) -> None:
        names = [task.name for task in self.tasks.wanted()]
        self.assertEqual(names, [tasks.USAGE_TASK])

    def test_the_fleet_runs_it_nowhere_else(self) -> None:
        self.tasks.add_usage_task(usage_service.DISABLED)
        self.assertEqual(self.tasks.wanted(), ())

    async def test_a_claim_starts_the_reports(self) -> None:
        self.tasks.start(self.claim)
        self.steps.usage.start.assert_called_once_with(self.claim)
        self.assertEqual(list(self.tasks._owners), ['usage'])

    async def test_it_stops_before_it_is_handed_over(self) -> None:
        await self.tasks.hand_over(deadline=10)
        done = [
            call[0]
            for call in self.steps.mock_calls
            if call[0] in {'usage.stop', 'keeper.hand_over'}
        ]
        self.assertEqual(done, ['usage.stop', 'keeper.hand_over'])
        self.service.stop.assert_not_called()
