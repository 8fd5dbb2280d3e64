"""Which statements count, in which window, and which report comes next."""

import dataclasses
import unittest

from egretstep import clock, identifiers
from egretstep.backends import answers, commands
from egretstep.pooling import broker
from egretstep.pooling import work as work_module
from egretstep.usage import (
    counter,
    fleet_time,
    journal,
    report_queue,
    window_clock,
)
from tests import platform_fakes, virtual_time
from tests.pooling import test_broker
from tests.usage import usage_case

START = 1_000_001.0
WINDOW = 200_000


class WindowClockTest(unittest.TestCase):
    """A host's time of day jumps, or is wrong from the start."""

    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=START)
        self.step = 0.0
        self.windows = window_clock.WindowClock(
            window_seconds=5,
            time_source=self.clock,
            read_time_of_day=lambda: self.clock.now() + self.step,
        )

    def test_a_jump_and_back_moves_no_window(self) -> None:
        for step in (2, -2, 3600, 0):
            self.step = step
            for _ in range(60):
                self.clock.advance(1)
                self.windows.check()
                self.assertAlmostEqual(self.windows.now(), self.clock.now())
                self.assertEqual(self.windows.time_of_day is None, bool(step))

    def test_a_slow_drift_is_followed(self) -> None:
        for _ in range(100):
            self.clock.advance(1)
            self.step += 0.02
            self.windows.check()
        self.assertAlmostEqual(self.windows.now(), self.clock.now() + 2)

    def test_a_lasting_correction_is_followed(self) -> None:
        self.step = -2
        for _ in range(310):
            self.clock.advance(1)
            self.windows.check()
        self.assertAlmostEqual(self.windows.now(), self.clock.now() - 2)

    def test_a_host_that_starts_with_a_wrong_time_is_outvoted(self) -> None:
        """It must also not follow its own time of day again."""
        self.step = 2
        windows = window_clock.WindowClock(
            window_seconds=5,
            time_source=self.clock,
            read_time_of_day=lambda: self.clock.now() + self.step,
        )
        for _ in range(400):
            self.clock.advance(1)
            windows.check()
            windows.correct(self.clock.now() + 0.1)
            self.assertLess(abs(windows.now() - self.clock.now()), 0.2)

    def test_the_median_of_the_fleet(self) -> None:
        times = fleet_time.FleetTime(time_source=self.clock)
        for host, step in (('a', 0.0), ('b', 2.0)):
            times.record(identifiers.HostName(host), time_of_day=START + step)
            self.assertIsNone(times.now())
        delayed = identifiers.HostName('c')
        times.record(delayed, time_of_day=START)
        times.record(delayed, time_of_day=START - 0.7)
        self.assertEqual(times.now(), START)
        self.clock.advance(fleet_time.MAX_AGE_SECONDS + 1)
        self.assertIsNone(times.now())


class CounterTest(virtual_time.VirtualTimeTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.server = platform_fakes.FakeServer(name='server-1')
        self.host = usage_case.Fleet('a').hosts['a']
        self.broker = broker.Broker(
            server=self.server.backend(),
            opener=platform_fakes.FakeOpener(self.server),
            connection_limit=8,
            time_source=clock.MonotonicClock(),
            usage=self.host.counter,
        )

    async def test_operations_that_servers_begin_to_run_count(self) -> None:
        """A transaction counts once; BEGIN and SET of the system do not."""
        self.server.states = {
            b'WRITE a 1': answers.TransactionState.INSIDE,
        }
        await self._run(
            usage_case.make_work(
                command=test_broker.WRITE,
                opens=work_module.Opens.TRANSACTION,
                values=((b'language', b'it'),),
            )
        )
        await self._run(
            usage_case.make_work(command=test_broker.COMMIT, is_pinned=True)
        )
        await self._run(test_broker.make_work(test_broker.READ))
        self.assertEqual(self._counted(), {platform_fakes.DEPOT: 2})

    async def test_what_the_server_rejected_unrun_does_not_count(self) -> None:
        for code in (
            answers.Code.OVERLOADED,
            answers.Code.NO_PREPARED,
            answers.Code.BEHIND,
            answers.Code.NOT_PRIMARY,
            answers.Code.WRONG_SERVER,
            answers.Code.TOO_MANY_CONNECTIONS,
        ):
            self.server.refuses_statements_with = code
            await self._run(test_broker.make_work(test_broker.READ))
        self.assertEqual(self._counted(), {})
        self.server.refuses_statements_with = answers.Code.FAILED
        await self._run(test_broker.make_work(test_broker.READ))
        self.assertEqual(self._counted(), {platform_fakes.DEPOT: 1})

    async def test_a_lost_answer_counts(self) -> None:
        self.server.breaks_connection_on = b'READ a'
        await self._run(test_broker.make_work(test_broker.READ))
        self.server.breaks_connection_on = b''
        self.server.work_seconds = 3
        await self._run(test_broker.make_work(test_broker.READ))
        self.assertEqual(self._counted(), {platform_fakes.DEPOT: 2})

    async def test_a_statement_counts_in_the_window_it_was_sent_in(
        self,
    ) -> None:
        self.server.work_seconds = 0.5
        await usage_case.run_for(4.7)
        await self._run(test_broker.make_work(test_broker.READ))
        self.assertEqual(
            list(self.host.counter.recent()), [usage_case.FIRST_WINDOW]
        )

    async def test_clients_without_a_key_do_not_count(self) -> None:
        anonymous = identifiers.ANONYMOUS_WORKSPACE
        await self._run(test_broker.make_work(test_broker.READ, anonymous))
        self.assertEqual(self._counted(), {})

    def test_operations_count_a_transaction_once(self) -> None:
        first = usage_case.make_work(opens=work_module.Opens.TRANSACTION)
        second = usage_case.make_work(is_pinned=True)
        commit = usage_case.make_work(
            command=commands.Command(
                action=commands.Action.COMMIT, text=b'COMMIT'
            ),
            is_pinned=True,
        )
        counted = [
            counter.counts_operation(work, answers.Code.OK)
            for work in (first, second, commit)
        ]
        self.assertEqual(counted, [True, False, False])

    async def _run(self, work: work_module.Work) -> None:
        await self.broker.execute(work, test_broker.LINK)

    def _counted(self) -> counter.Counts:
        return self.host.counter.recent().get(usage_case.FIRST_WINDOW, {})


class QueueTest(unittest.TestCase):
    """What a new holder composes, records and sends."""

    def test_unsent_records_are_sent_before_new_windows(self) -> None:
        queue = _queue(_record(WINDOW), _record(WINDOW + 1))
        queue.compose({'depot': 9}, epoch=2)
        sent = []
        while queue.to_send():
            sent.append(queue.to_send().window)
            queue.mark_accepted()
        self.assertEqual(sent, [WINDOW, WINDOW + 1])
        self.assertEqual(queue.to_record().window, WINDOW + 2)
        self.assertEqual(queue.to_record().accepted_until, WINDOW + 1)

    def test_a_new_fleet_begins_with_its_first_window(self) -> None:
        self.assertEqual(_queue().next_window, WINDOW)

    def test_windows_without_counts_are_left_out(self) -> None:
        """All hosts were away for an hour."""
        queue = _queue(_record(WINDOW - 720))
        self.assertEqual(queue.next_window, WINDOW - 12)

    def test_an_unsent_record_is_not_replaced_in_the_ring(self) -> None:
        queue = _queue()
        for _ in range(journal.RING_ROWS * 2):
            queue.compose({}, epoch=1)
        recorded = 0
        while queue.to_record():
            report = queue.to_record()
            queue.mark_recorded(report, report)
            recorded += 1
        self.assertLess(recorded, journal.RING_ROWS)


class JournalTest(unittest.IsolatedAsyncioTestCase):
    """Two holders write the report of one window."""

    def setUp(self) -> None:
        self.journal = journal.ReportJournal(store=platform_fakes.FakeTables())

    async def test_the_first_content_is_kept_and_sent(self) -> None:
        first = _record(WINDOW)
        second = dataclasses.replace(first, counts={'depot': 2}, epoch=2)
        self.assertEqual(await self.journal.record(first), first)
        queue = _queue()
        queue.compose({'depot': 2}, epoch=2)
        recorded = await self.journal.record(second)
        queue.mark_recorded(second, recorded)
        self.assertEqual(queue.to_send(), first)
        self.assertEqual(await self.journal.read_all(), [first])

    async def test_a_replaced_record_is_not_written_again(self) -> None:
        later = _record(WINDOW + journal.RING_ROWS)
        await self.journal.record(_record(WINDOW))
        await self.journal.record(later)
        queue = _queue()
        queue.compose({'depot': 1}, epoch=1)
        recorded = await self.journal.record(_record(WINDOW))
        queue.mark_recorded(_record(WINDOW), recorded)
        self.assertIsNone(queue.to_send())
        self.assertEqual(await self.journal.read_all(), [later])


def _record(window: int) -> journal.Report:
    return journal.Report(
        window=window, counts={'depot': 1}, epoch=1, accepted_until=WINDOW - 721
    )


def _queue(*records: journal.Report) -> report_queue.ReportQueue:
    return report_queue.ReportQueue(
        report_queue.TakeoverState(
            records=records,
            recorded_until=0,
            first_window=WINDOW,
            oldest_window=WINDOW - 12,
        )
    )
