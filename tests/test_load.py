"""Checks of the load generator when one of its own statements runs late."""

import sqlite3
import typing
import unittest

from egretstep.bench import checks, load, workload

WRITES = 3


class _LateLoad(load.LoadGenerator):
    """Runs statements in memory; the first that sets a counter is held up."""

    def __init__(self) -> None:
        group = workload.CallerGroup(
            workspace='depot', key='key', database='loans', sessions=1
        )
        super().__init__(
            model=workload.Workload(groups=[group]),
            addresses=[],
        )
        self.database = sqlite3.connect(':memory:', isolation_level=None)
        self.late_statement = ''

    async def _send_statement(
        self, session: load.Session, sql: str
    ) -> typing.Any:
        is_counter = f'{session.row}, 0, 0' in sql
        if is_counter and not self.late_statement:
            self.late_statement = sql
            raise TimeoutError
        return self.database.execute(sql).fetchall()


class LateStatementTest(unittest.IsolatedAsyncioTestCase):
    """Counters were set to zero again after acknowledged writes."""

    async def test_a_late_first_attempt_loses_no_write(self) -> None:
        generator = _LateLoad()
        await generator.prepare()
        for _ in range(WRITES):
            await generator._write(generator._sessions[0])
        generator.database.execute(generator.late_statement)
        await generator.check()
        self.assertEqual(generator.violations.examples, [])

    async def test_counters_of_a_former_run_are_no_violations(self) -> None:
        generator = _LateLoad()
        for _ in range(2):
            generator._sessions[0].writes = checks.WriteCounts()
            await generator.prepare()
            await generator._write(generator._sessions[0])
            await generator._read(generator._sessions[0])
            await generator.check()
        self.assertEqual(generator.violations.examples, [])

    async def test_a_lost_write_is_a_violation(self) -> None:
        generator = _LateLoad()
        await generator.prepare()
        generator._sessions[0].writes.acknowledged = 1
        await generator.check()
        self.assertEqual(
            list(generator.violations.counts), [checks.Guarantee.NO_LOST_WRITE]
        )
