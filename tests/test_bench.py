"""Tests of the consistency checks and the workloads of the load generator."""

import pathlib
import unittest

from egretstep.bench import checks, measures, workload
from egretstep.settings import loader

EXAMPLES = pathlib.Path(__file__).parents[1] / 'examples'


class ChecksTest(unittest.TestCase):
    def _violations(self, *, stored: int) -> dict[checks.Guarantee, int]:
        violations = checks.Violations()
        checks.check_total(
            violations=violations,
            name='row',
            writes=checks.WriteCounts(acknowledged=5, unknown=1),
            stored=stored,
        )
        return dict(violations.counts)

    def test_totals_within_the_unknown_outcomes_are_valid(self) -> None:
        self.assertEqual(self._violations(stored=5), {})
        self.assertEqual(self._violations(stored=6), {})

    def test_lost_and_duplicated_writes_are_violations(self) -> None:
        lost = self._violations(stored=4)
        duplicated = self._violations(stored=7)
        self.assertEqual(list(lost), [checks.Guarantee.NO_LOST_WRITE])
        self.assertEqual(list(duplicated), [checks.Guarantee.AT_MOST_ONCE])

    def test_longest_gap(self) -> None:
        group = measures.GroupStatistics()
        for now in (1, 1.5, 4, 4.1):
            group.record_success(now=now, seconds=0.001)
        self.assertEqual(group.longest_gap(), 2.5)

    def test_example_workloads_are_valid(self) -> None:
        for path in EXAMPLES.glob('*/workload.yaml'):
            loader.load(path=path, model=workload.Workload).unwrap()
