"""Guards against clients that use up the memory or descriptors of a host.

Load pattern: a crowd sends most of a large message each and then stops, or
does not read its answers, while ordinary clients come and go.
"""

import dataclasses
import unittest
import unittest.mock

from egretstep import clock
from egretstep.backends import answers, commands
from egretstep.callers import client_limits, session_state
from egretstep.platform import wire
from egretstep.pooling import work as work_module
from egretstep.programs import remote_statements
from egretstep.supervision import stop_deadline
from tests import platform_fakes

MIB = client_limits.MIB
TOTAL_BYTES = 8 * MIB
CROWD = 400
PIECE_BYTES = 8 * client_limits.KIB
_LINK = work_module.LinkId(1)


class DeriveTest(unittest.TestCase):
    def test_small_hosts_serve_the_sessions_of_others(self) -> None:
        for memory_mb in (200, 552):
            limits = client_limits.derive(memory_mb=memory_mb, max_fds=4300)
            self.assertGreaterEqual(limits.max_connections, 2000)

    def test_the_process_stays_within_its_limits(self) -> None:
        for memory_mb in (50, 200, 552, 4096):
            for max_fds in (256, 500, 1024, 4300, 65536):
                with self.subTest(memory_mb=memory_mb, max_fds=max_fds):
                    limits = client_limits.derive(
                        memory_mb=memory_mb, max_fds=max_fds
                    )
                    self.assertLess(
                        limits.max_connections + client_limits.FILE_DESCRIPTORS,
                        max_fds,
                    )
                    self.assertLess(_most_bytes(limits), memory_mb * MIB)
                    self.assertGreater(limits.buffered_bytes, MIB)


def _most_bytes(limits: client_limits.ClientLimits) -> int:
    connections = limits.max_connections * client_limits.CONNECTION_BYTES
    copies = client_limits.MESSAGE_COPIES * limits.buffered_bytes
    return connections + copies + limits.session_bytes


class ByteBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.budget = client_limits.ByteBudget(
            total_bytes=TOTAL_BYTES, time_source=self.clock
        )
        self.evicted: list[int] = []

    def _open(self, number: int) -> client_limits.Account:
        return self.budget.open(lambda: self.evicted.append(number))

    def _half_send(self, number: int) -> client_limits.Account:
        account = self._open(number)
        account.start_waiting()
        for _ in range(MIB // PIECE_BYTES - 1):
            if not account.charge(PIECE_BYTES):
                account.release()
        return account

    def test_a_crowd_that_stops_halfway_makes_room(self) -> None:
        crowd = [self._half_send(number) for number in range(CROWD)]
        self.assertLessEqual(self.budget.held_bytes, TOTAL_BYTES)
        self.assertGreater(self.budget.held_bytes, TOTAL_BYTES - MIB)
        ordinary = self._open(-1)
        self.assertFalse(ordinary.charge(MIB))
        self.assertEqual(self.evicted, [])
        self.clock.advance(client_limits.EVICTION_WAIT_SECONDS)
        self.assertTrue(ordinary.charge(MIB))
        self.assertLessEqual(len(self.evicted), 2)
        self.assertLessEqual(self.budget.held_bytes, TOTAL_BYTES)
        for account in (*crowd, ordinary):
            account.release()
        self.assertEqual(self.budget.held_bytes, 0)

    def test_a_statement_that_runs_is_never_evicted(self) -> None:
        running = self._open(1)
        self.assertTrue(running.charge(TOTAL_BYTES))
        self.clock.advance(client_limits.TRANSFER_SECONDS * 2)
        self.assertFalse(self._open(2).charge(1))
        self.assertFalse(running.is_overdue)
        self.assertEqual(self.evicted, [])

    def test_the_answer_that_waits_longest_is_evicted(self) -> None:
        for number in range(TOTAL_BYTES // MIB):
            account = self._open(number)
            account.start_waiting()
            account.charge_answer(MIB)
            self.clock.advance(0.01)
        self._open(-1).charge_answer(MIB)
        self.assertEqual(self.evicted, [])
        # The first two have waited too long then, the third has not.
        self.clock.advance(client_limits.ANSWER_EVICTION_WAIT_SECONDS - 0.065)
        self._open(-1).charge_answer(MIB)
        self.assertEqual(self.evicted, [0, 1])
        self.assertEqual(self.budget.held_bytes, TOTAL_BYTES)

    def test_an_answer_larger_than_the_budget_is_delivered(self) -> None:
        self._open(1).charge_answer(2 * TOTAL_BYTES)
        self.assertEqual(self.evicted, [])

    def test_a_connection_lost_halfway_holds_nothing(self) -> None:
        lost = self._half_send(1)
        lost.release()
        lost.release()
        self.assertEqual(self.budget.held_bytes, 0)
        self.clock.advance(client_limits.TRANSFER_SECONDS * 2)
        self.assertFalse(lost.is_overdue)

    def test_a_transfer_has_a_time_limit(self) -> None:
        account = self._half_send(1)
        self.clock.advance(client_limits.TRANSFER_SECONDS)
        self.assertFalse(account.is_overdue)
        self.clock.advance(1)
        self.assertTrue(account.is_overdue)


class _Connection:
    def __init__(self) -> None:
        self.is_refused = False

    def refuse(self) -> None:
        self.is_refused = True


class ConnectionCapTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cap = client_limits.ConnectionCap(max_connections=3)
        self.connections = [_Connection() for _ in range(5)]

    def test_the_oldest_without_a_session_makes_room(self) -> None:
        for connection in self.connections[:3]:
            self.assertTrue(self.cap.admit(connection))
        self.cap.record_session(self.connections[0])
        for connection in self.connections[3:]:
            self.assertTrue(self.cap.admit(connection))
        refused = [each.is_refused for each in self.connections]
        self.assertEqual(refused, [False, True, True, False, False])

    def test_sessions_are_kept_and_new_connections_refused(self) -> None:
        for connection in self.connections[:3]:
            self.cap.admit(connection)
            self.cap.record_session(connection)
        self.assertFalse(self.cap.admit(self.connections[3]))
        self.cap.remove(self.connections[3])
        self.cap.remove(self.connections[0])
        self.assertTrue(self.cap.admit(self.connections[4]))


class SessionBytesTest(unittest.TestCase):
    def test_replaced_and_dropped_values_are_not_counted(self) -> None:
        """Guards against sessions that are refused for what they dropped."""
        state = session_state.SessionState(parse_prepared=wire.parse_prepared)
        self._apply(state, b'SET name xyz')
        one = state.held_bytes
        self._apply(state, b'SET name abc')
        self.assertEqual(state.held_bytes, one)
        self._apply(state, b'PREPARE p READ shape')
        self._apply(state, b'PREPARE p READ shape')
        self._apply(state, b'DEALLOC p')
        self.assertEqual(state.held_bytes, one)

    def _apply(self, state: session_state.SessionState, text: bytes) -> None:
        command: commands.Command = wire.parse_command(text)
        state.apply(command)


class RemoteStatementsTest(unittest.IsolatedAsyncioTestCase):
    async def test_large_statements_of_other_hosts_need_room(self) -> None:
        """Guards against a statement that runs and is reported as refused."""
        budget = client_limits.ByteBudget(
            total_bytes=TOTAL_BYTES, time_source=clock.ManualClock()
        )
        local = unittest.mock.AsyncMock()
        statements = remote_statements.RemoteStatements(
            local=local,
            budget=budget,
            stop=stop_deadline.StopDeadline(time_source=clock.ManualClock()),
        )
        other = budget.open(lambda: None)
        other.charge(TOTAL_BYTES)
        refused = await statements.execute(_work(MIB), _LINK)
        self.assertIs(refused.code, answers.Code.OVERLOADED)
        self.assertFalse(refused.was_sent)
        local.execute.assert_not_awaited()
        self.assertFalse(refused.is_pinned)
        # The transaction must be rolled back by the host that was refused.
        pinned = dataclasses.replace(_work(MIB), is_pinned=True)
        refused = await statements.execute(pinned, _LINK)
        self.assertTrue(refused.is_pinned)
        await statements.execute(_work(100), _LINK)
        other.release()
        local.execute.side_effect = ConnectionResetError
        with self.assertRaises(ConnectionResetError):
            await statements.execute(_work(MIB), _LINK)
        self.assertEqual(local.execute.await_count, 2)
        self.assertEqual(budget.held_bytes, 0)


def _work(size: int) -> work_module.Work:
    return work_module.Work(
        statement_id=b'1',
        command=wire.parse_command(b'READ '.ljust(size, b'x')),
        workspace=platform_fakes.DEPOT,
        service=platform_fakes.SERVICE,
        timeout=1,
    )
