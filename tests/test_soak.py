"""Tests of the soak test's checks, and runs with seeds that failed before."""

import dataclasses
import pathlib
import unittest

from soak import callers, run

REGRESSIONS = pathlib.Path(__file__).parents[1] / 'soak' / 'regressions.txt'
SECONDS = 6.0
FIRST_PORT = 25_000
ADDITIONAL_SEED = 1
RESTORES = 2
RESTORES_PORT_OFFSET = 900


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SoakedRun:
    """The options of a run of the soak."""

    seed: int
    seconds: float = SECONDS
    restores: int = 0


def _regressions() -> list[SoakedRun]:
    lines = REGRESSIONS.read_text().splitlines()
    rows = [
        line.split('|') for line in lines if line and not line.startswith('#')
    ]
    return [
        SoakedRun(seed=int(row[0]), seconds=float(row[1]), restores=int(row[2]))
        for row in rows
    ]


class HistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = callers.History()

    def test_consistent_outcomes(self) -> None:
        self.history.acknowledged = {'a-1'}
        self.history.unknown = {'a-2', 'a-3'}
        self.history.not_run = {'a-4'}
        self.assertEqual(self.history.find_violations(['a-1', 'a-3']), [])

    def test_a_lost_write(self) -> None:
        self.history.acknowledged = {'a-1'}
        self.assertIn('not stored', self.history.find_violations([])[0])

    def test_a_refused_write_that_ran(self) -> None:
        self.history.not_run = {'a-1'}
        self.assertIn('not run', self.history.find_violations(['a-1'])[0])

    def test_a_write_that_ran_twice(self) -> None:
        self.history.unknown = {'a-1'}
        self.assertIn(
            'more than once', self.history.find_violations(['a-1', 'a-1'])[0]
        )

    def test_a_stale_read(self) -> None:
        self.history.acknowledged = {'a-1', 'a-2'}
        self._add_stale_read('a-1')
        self.assertIn(
            'not seen', self.history.find_violations(['a-1', 'a-2'])[0]
        )

    def test_a_late_write_of_unknown_outcome(self) -> None:
        self.history.unknown = {'a-1'}
        self.history.acknowledged = {'a-2'}
        self._add_stale_read('a-1')
        self.assertEqual(self.history.find_violations(['a-2', 'a-1']), [])
        self.assertIn(
            'not seen', self.history.find_violations(['a-1', 'a-2'])[0]
        )

    def _add_stale_read(self, seen: str) -> None:
        self.history.stale_reads.append(
            callers.StaleRead(expected='a-2', seen=seen),
        )


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_seeds(self) -> None:
        runs = [each for each in _regressions() if not each.restores]
        await self._check([SoakedRun(seed=ADDITIONAL_SEED), *runs])

    async def test_seeds_with_restores(self) -> None:
        """Not in KNOWN-RED, unlike the seeds without restores."""
        await self._check([each for each in _regressions() if each.restores])

    async def _check(self, runs: list[SoakedRun]) -> None:
        for index, soaked in enumerate(runs):
            with self.subTest(seed=soaked.seed):
                report = await run.soak(
                    seed=soaked.seed,
                    seconds=soaked.seconds,
                    first_port=FIRST_PORT + 100 * index,
                    restores=soaked.restores,
                )
                self.assertEqual(report.violations, [], report.text())

    async def test_a_store_that_returns_from_a_copy(self) -> None:
        report = await run.soak(
            seed=ADDITIONAL_SEED,
            seconds=SECONDS,
            first_port=FIRST_PORT + RESTORES_PORT_OFFSET,
            restores=RESTORES,
        )
        self.assertEqual(report.violations, [], report.text())
