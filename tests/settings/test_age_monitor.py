"""A configuration that nobody confirms is logged; three hosts looked well."""

import unittest

import logbook

from egretstep import clock
from egretstep.platform import operator_settings
from egretstep.settings import age_monitor, configuration_follower
from egretstep.storage import watching
from tests import platform_fakes

MAX_DELAY_SECONDS = 3.0


class AgeMonitorTest(unittest.TestCase):
    def test_each_crossing_of_the_bound_has_a_line(self) -> None:
        source = clock.ManualClock()
        watch = watching.TableWatch(
            store=platform_fakes.FakeTables(), table='op', time_source=source
        )
        monitor = age_monitor.AgeMonitor(
            configuration=configuration_follower.ConfigurationFollower(
                watch=watch, table_format=operator_settings.FORMAT
            ),
            max_delay=MAX_DELAY_SECONDS,
        )
        lines = []
        with logbook.TestHandler() as handler:
            for pause in (0, MAX_DELAY_SECONDS, 0.5, 1):
                if not pause:
                    self._confirm(watch, source)
                source.advance(pause)
                monitor.check()
                lines.append(len(handler.records))
            self._confirm(watch, source)
            monitor.check()
            lines.append(len(handler.records))
        self.assertEqual(lines, [0, 0, 1, 1, 2])

    def _confirm(
        self, watch: watching.TableWatch, source: clock.ManualClock
    ) -> None:
        watch.accept(watch.no_changes(), confirmed_at=source.now())
