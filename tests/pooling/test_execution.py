import asyncio
import typing
import unittest
import unittest.mock

from egretstep import clock, errors, identifiers
from egretstep.backends import mysql as database
from egretstep.peers import messages
from egretstep.pooling import (
    execution,
    jobs,
    outcomes,
    pins,
    queueing,
    read_planner,
)
from egretstep.replication import floors, group, lease
from egretstep.settings import schema, tree

Kind = identifiers.StatementKind
PRIMARY = identifiers.ServerName('p')
DONE = database.StatementResult(
    columns=(),
    rows=(),
    affected_rows=1,
    insert_id=0,
    information=b'1:7',
    in_transaction=False,
)


class FakeConnection:
    """Returns the next of `results`.

    A number makes the statement run for as many seconds, and an exception is
    raised.
    """

    server = PRIMARY
    in_transaction = False
    is_usable = True

    def __init__(self, results: list[typing.Any]) -> None:
        self.results = results
        self.ran: list[bytes] = []

    async def run(self, sql: bytes) -> database.StatementResult:
        self.ran.append(sql)
        outcome = self.results.pop(0)
        if isinstance(outcome, float):
            await asyncio.sleep(outcome)
            return DONE
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    def close(self) -> None:
        """Do nothing."""


class ExecutorTest(unittest.IsolatedAsyncioTestCase):
    def _executor(self, *results: typing.Any) -> execution.Executor:
        self.clock = clock.MonotonicClock()
        self.lease = lease.MajorityLease(
            servers=[PRIMARY],
            time_source=self.clock,
        )
        self.lease.confirm(server=PRIMARY, sent_at=self.clock.now())
        self.connection = FakeConnection(list(results))
        pool = unittest.mock.MagicMock()
        pool.connections.acquire = unittest.mock.AsyncMock(
            return_value=self.connection,
        )
        pool.connections.release = unittest.mock.AsyncMock()
        pool.connections.server = PRIMARY
        self.group = unittest.mock.Mock(
            tenure=group.Tenure(
                term=identifiers.Term(1),
                primary=PRIMARY,
                lease=self.lease,
            ),
            floors=floors.SessionFloors(),
            monitors=[],
            database=identifiers.DatabaseName('d'),
        )
        return execution.Executor(
            database_group=self.group,
            pools={PRIMARY: pool},
            reads=read_planner.ReadPlanner(
                database_group=self.group,
                pools={PRIMARY: pool},
                zone_of=lambda _server: identifiers.ZoneName('z'),
                is_zone_in=lambda _zone: True,
                time_source=self.clock,
            ),
            time_source=self.clock,
        )

    def _job(
        self,
        kind: Kind,
        *,
        seconds: float = 0.3,
        expect_pin: bool = False,
    ) -> jobs.Job:
        return jobs.Job(
            request=messages.StatementRequest(
                request_id=identifiers.RequestId(1),
                workspace=identifiers.WorkspaceName('w'),
                database=identifiers.DatabaseName('d'),
                sql=b'x',
                kind=kind,
                timeout_ms=1,
                expect_pin=expect_pin,
            ),
            effective=tree.EffectiveSettings(
                rate=1,
                burst=1,
                weight=1,
                request_timeout_ms=1,
                replica_wait_ms=1,
                read_policy=schema.ReadPolicy.SESSION,
                queue_policy=queueing.QueuePolicy.FAIR,
            ),
            deadline=self.clock.now() + seconds,
            pin_key=(pins.LinkId(1), identifiers.PinId(1)),
        )

    async def _refusal(
        self,
        executor: execution.Executor,
        job: jobs.Job,
    ) -> errors.Refusal:
        with self.assertRaises(errors.RefusedError) as refused:
            await executor.run(job)
        return refused.exception.refusal

    async def test_no_write_is_acknowledged_without_the_lease(self) -> None:
        executor = self._executor(DONE)
        self.lease.release()
        refusal = await self._refusal(executor, self._job(Kind.WRITE))
        self.assertIs(refusal.outcome, identifiers.Outcome.UNKNOWN)

    async def test_no_read_is_answered_without_the_lease(self) -> None:
        executor = self._executor(*[DONE] * 100)
        self.lease.release()
        refusal = await self._refusal(executor, self._job(Kind.READ))
        self.assertIs(refusal.outcome, identifiers.Outcome.NOT_RUN)

    async def test_write_refused_for_a_stale_term_is_repeated(self) -> None:
        stale = database.ServerRefusalError(
            code=outcomes.CODE_STALE_TERM,
            sql_state='HY000',
            message='',
        )
        executor = self._executor(stale, DONE)
        answer = await executor.run(self._job(Kind.WRITE))
        self.assertEqual(answer.position.offset, 7)
        self.assertEqual(len(self.connection.ran), 2)

    async def test_only_an_unsent_write_is_repeated(self) -> None:
        unsent = errors.NotSentError('gone')
        executor = self._executor(unsent, DONE)
        await executor.run(self._job(Kind.WRITE))
        lost = errors.DatabaseServerError('lost')
        executor = self._executor(lost, DONE)
        refusal = await self._refusal(executor, self._job(Kind.WRITE))
        self.assertIs(refusal.outcome, identifiers.Outcome.UNKNOWN)
        self.assertEqual(len(self.connection.ran), 1)

    async def test_aborted_write_is_answered_at_once(self) -> None:
        executor = self._executor(5.0)
        started = self.clock.now()
        job = self._job(Kind.WRITE, seconds=5)
        asyncio.get_running_loop().call_later(0.05, executor.abort, PRIMARY)
        refusal = await self._refusal(executor, job)
        self.assertIs(refusal.outcome, identifiers.Outcome.UNKNOWN)
        self.assertLess(self.clock.now() - started, 1)

    async def test_statement_of_a_lost_transaction_does_not_run(self) -> None:
        executor = self._executor(DONE)
        job = self._job(Kind.WRITE, expect_pin=True)
        refusal = await self._refusal(executor, job)
        self.assertIs(refusal.kind, errors.RefusalKind.TRANSACTION_LOST)
        self.assertEqual(self.connection.ran, [])

    async def test_closed_gate_holds_writes_back(self) -> None:
        executor = self._executor(DONE)
        self.assertTrue(await executor.gate.close(longest_wait=0))
        refusal = await self._refusal(
            executor,
            self._job(Kind.WRITE, seconds=0.05),
        )
        self.assertIs(refusal.outcome, identifiers.Outcome.NOT_RUN)
        executor.gate.open()
        await executor.run(self._job(Kind.WRITE))

    async def test_writes_at_the_gate_are_redirected_after_a_handover(
        self,
    ) -> None:
        executor = self._executor(DONE)
        await executor.gate.close(longest_wait=0)
        waiting = asyncio.create_task(
            self._refusal(executor, self._job(Kind.WRITE, seconds=5)),
        )
        await asyncio.sleep(0.02)
        self.group.tenure = None
        executor.gate.open()
        refusal = await asyncio.wait_for(waiting, 1)
        self.assertIs(refusal.kind, errors.RefusalKind.NOT_OWNER)
