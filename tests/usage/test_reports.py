"""Reports of a fleet whose hosts, store or platform fail at any point.

Load pattern: three hosts run 60 statements a second together, while one
component fails. No fault may lead to two contents for one window, a lower
epoch after a higher one, or holders that alternate.
"""

import random

from egretstep.membership import claims
from egretstep.usage import reporter
from tests import virtual_time
from tests.usage import usage_case

MAX_ERROR = 0.05
# A host that dies loses at most one second of its counts, here of a window of
# five seconds and three hosts, beside the usual error.
MAX_ERROR_OF_DEATH = 0.08


class ReportsTest(virtual_time.VirtualTimeTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        random.seed(1)
        self.fleet = usage_case.Fleet()
        self.platform = self.fleet.platform
        self.fleet.start()
        self.fleet.hold('a', epoch=1)

    async def asyncTearDown(self) -> None:
        for name in list(self.fleet.hosts):
            await self.fleet.kill(name)
        self.assertEqual(self.platform.violations, [])

    async def test_each_window_is_reported_in_time(self) -> None:
        await usage_case.run_for(43)
        self._assert_reported(8)
        self._assert_accurate(8)
        self.assertLessEqual(self.fleet.store.write_count, 8)

    async def test_a_holder_dies_before_it_has_composed(self) -> None:
        """Its own counts and those sent to it are not lost."""
        await usage_case.run_for(19.9)
        await self._replace_holder()
        await usage_case.run_for(30)
        self._assert_reported(8)
        self._assert_accurate(8, MAX_ERROR_OF_DEATH)

    async def test_a_holder_dies_after_the_end_of_a_window(self) -> None:
        await usage_case.run_for(22.4)
        await self._replace_holder()
        await usage_case.run_for(30)
        self._assert_reported(8)
        self._assert_accurate(8, MAX_ERROR_OF_DEATH)

    async def test_a_holder_dies_between_record_and_answer(self) -> None:
        """The next one must send the recorded content, also if it differs."""
        await usage_case.run_for(10)
        self.platform.is_down = True
        await usage_case.run_for(3)
        recorded = {
            key: row.content for key, row in self.fleet.store.rows.items()
        }
        await self._replace_holder()
        self.platform.is_down = False
        await usage_case.run_for(20)
        self._assert_reported(5)
        self.assertEqual(
            recorded,
            {key: self.fleet.store.rows[key].content for key in recorded},
        )

    async def test_a_lost_answer_of_the_platform(self) -> None:
        """The platform has the report; it must be repeated exactly."""
        await usage_case.run_for(6)
        self.platform.is_silent = True
        await usage_case.run_for(6)
        await self._replace_holder()
        await usage_case.run_for(3)
        self.platform.is_silent = False
        await usage_case.run_for(15)
        self._assert_reported(5)

    async def test_a_lost_answer_of_the_store(self) -> None:
        """The write happened: it is read back and sent."""
        self.fleet.store.loses_answers = True
        await usage_case.run_for(40)
        self._assert_reported(7)
        self.assertLessEqual(self.fleet.store.write_count, 8)

    async def test_a_write_that_takes_effect_before_a_takeover(self) -> None:
        await self._write_late(1.5)

    async def test_a_write_that_takes_effect_in_a_takeover(self) -> None:
        await self._write_late(5.0)

    async def test_a_write_that_takes_effect_after_a_takeover(self) -> None:
        await self._write_late(9.0)

    async def test_reports_wait_for_the_platform_in_order(self) -> None:
        await usage_case.run_for(10)
        self.platform.is_down = True
        await usage_case.run_for(70)
        self.platform.is_down = False
        await usage_case.run_for(20)
        windows = [each.window for each in self.platform.accepted]
        self.assertEqual(windows, sorted(windows))
        self.assertEqual(set(windows), set(self._windows(19)))
        self._assert_accurate(19)

    async def test_a_refused_report_does_not_hold_back_the_others(
        self,
    ) -> None:
        refused = usage_case.FIRST_WINDOW + 1
        self.platform.refused = refused
        await usage_case.run_for(40)
        self.assertEqual(
            set(self.platform.contents), set(self._windows(7)) - {refused}
        )

    async def test_reports_wait_for_the_store(self) -> None:
        self.fleet.store.is_down = True
        await usage_case.run_for(100)
        self.assertEqual(self.platform.accepted, [])
        self.fleet.store.is_down = False
        await usage_case.run_for(10)
        self._assert_accurate(20)

    async def test_the_store_loses_the_latest_records(self) -> None:
        """A window that was sent must not be composed again."""
        await usage_case.run_for(21)
        copy = dict(self.fleet.store.rows)
        await usage_case.run_for(12)
        self.fleet.store.restore(copy)
        for host in self.fleet.hosts.values():
            # A report that is composed again would have other counts.
            host.collected.discard_until(usage_case.FIRST_WINDOW + 99)
        await self._replace_holder()
        await usage_case.run_for(20)
        self._assert_reported(9)

    async def test_no_report_without_the_lease(self) -> None:
        """A host that is cut off must not send beside its successor."""
        await usage_case.run_for(11)
        self.platform.is_down = True
        await usage_case.run_for(2)
        former = self.fleet.hosts['a']
        self.fleet.hold('b', epoch=2)
        self.platform.is_down = False
        accepted_count = len(self.platform.accepted)
        former.keeper.known = {
            reporter.TASK: claims.Claim(
                task=reporter.TASK, host=former.name, boot=1, epoch=1
            )
        }
        await usage_case.run_for(30)
        self._assert_reported(7)
        later = self.platform.accepted[accepted_count:]
        self.assertEqual({each.holder for each in later}, {'b'})

    async def test_a_fleet_without_a_holder_keeps_a_minute(self) -> None:
        """Guards against counts that grow until a holder is chosen."""
        host = self.fleet.hosts['b']
        host.keeper.known = {}
        await usage_case.run_for(120)
        self.assertLessEqual(len(host.counter._counts), 14)

    async def test_the_first_holder_starts_with_a_wrong_time(self) -> None:
        """Guards against a report for each window of weeks in between."""
        host = self.fleet.hosts['b']
        host.time_step = -usage_case.EPOCH_SECONDS / 2
        host.windows._offset += host.time_step
        host.reporter._first_window = host.windows.window()
        self.fleet.hold('b', epoch=2)
        await usage_case.run_for(30)
        first = min(self.platform.contents)
        self.assertGreater(first, usage_case.FIRST_WINDOW - 15)
        self.assertIn(usage_case.FIRST_WINDOW + 4, self.platform.contents)

    async def test_a_holder_is_cut_off_and_returns(self) -> None:
        """The counts that could not reach it are in its reports."""
        await usage_case.run_for(11)
        self.fleet.unreachable = 'a'
        self.fleet.hosts['a'].keeper.held_epoch = None
        await usage_case.run_for(12)
        self.fleet.unreachable = None
        self.fleet.hosts['a'].keeper.held_epoch = 1
        await usage_case.run_for(20)
        self._assert_accurate(8)

    async def test_a_time_of_day_that_jumps(self) -> None:
        """Also while the host composes: no count moves to another window."""
        await usage_case.run_for(11)
        for name in ('a', 'b', 'a'):
            self.fleet.hosts[name].time_step = 2
            await usage_case.run_for(8)
            self.fleet.hosts[name].time_step = 0
            await usage_case.run_for(4)
        self._assert_reported(8)
        self._assert_accurate(8)

    async def _write_late(self, delay: float) -> None:
        """Kill a holder whose last write takes effect some seconds later.

        The next holder composes other counts for the same window.
        """
        await usage_case.run_for(12.3)
        self.fleet.store.write_delay = delay
        await usage_case.run_for(0.5)
        await self._replace_holder()
        self.fleet.store.write_delay = 0
        await usage_case.run_for(20)
        self._assert_reported(5)

    async def _replace_holder(self) -> None:
        """Kill the holder; another host takes over as fast as it may."""
        await self.fleet.kill('a')
        await usage_case.run_for(2.5)
        self.fleet.hold('b', epoch=2)

    def _windows(self, count: int) -> range:
        first = usage_case.FIRST_WINDOW
        return range(first, first + count)

    def _assert_reported(self, count: int) -> None:
        """The first windows are reported, each within its time limit."""
        for window in self._windows(count):
            ended_at = (window + 1 - usage_case.FIRST_WINDOW) * 5
            late_at = ended_at + usage_case.SETTINGS.late_seconds
            self.assertLessEqual(self.platform.accepted_at[window], late_at)

    def _assert_accurate(
        self, count: int, max_error: float = MAX_ERROR
    ) -> None:
        for window in self._windows(count):
            sent = self.fleet.sent[window]
            counted = self.fleet.counted[window]
            self.assertLess(abs(counted - sent) / sent, max_error)
