"""Sessions, transactions and answers after errors at one server."""

import asyncio
import dataclasses
import typing
from unittest import mock

from egretstep import clock, identifiers
from egretstep.backends import answers, commands
from egretstep.pooling import (
    broker,
    connection_budget,
    workspace_connections,
)
from egretstep.pooling import work as work_module
from tests import platform_fakes, virtual_time

LINK = work_module.LinkId(1)
READ = commands.Command(action=commands.Action.READ, text=b'READ a')
WRITE = commands.Command(action=commands.Action.WRITE, text=b'WRITE a 1')
CONNECTION_LIMIT = 8
IDLE_LIMIT = CONNECTION_LIMIT // 2
COMMIT = commands.Command(action=commands.Action.COMMIT, text=b'COMMIT')


def make_work(
    command: commands.Command,
    workspace: identifiers.WorkspaceName = platform_fakes.DEPOT,
    session_values: work_module.SessionValues = (),
) -> work_module.Work:
    return work_module.Work(
        statement_id=b'id-1',
        command=command,
        workspace=workspace,
        service=platform_fakes.SERVICE,
        timeout=1,
        values=session_values,
        pin_id=identifiers.PinId(7),
    )


class BrokerTest(virtual_time.VirtualTimeTestCase):
    def setUp(self) -> None:
        self.server = platform_fakes.FakeServer(name='server-1')
        self.clock = clock.ManualClock(start=100)
        self.broker = broker.Broker(
            server=self.server.backend(),
            opener=platform_fakes.FakeOpener(self.server),
            connection_limit=CONNECTION_LIMIT,
            time_source=self.clock,
        )

    async def test_a_connection_never_changes_its_workspace(self) -> None:
        await self.broker.execute(make_work(READ), LINK)
        await self.broker.execute(make_work(READ, platform_fakes.NURSES), LINK)
        await self.broker.execute(make_work(READ), LINK)
        self.assertEqual(len(self.server.connections), 2)

    async def test_longest_idle_connection_is_closed_to_make_room(self) -> None:
        for index in range(CONNECTION_LIMIT):
            workspace = identifiers.WorkspaceName(f'workspace-{index}')
            answer = await self.broker.execute(make_work(READ, workspace), LINK)
            self.assertTrue(answer.is_ok)
        still_open = [
            each for each in self.server.connections if each.is_usable
        ]
        self.assertEqual(len(still_open), IDLE_LIMIT)

    async def test_values_of_another_session_are_reset(self) -> None:
        await self.broker.execute(
            make_work(READ, session_values=((b'x', b'1'),)), LINK
        )
        await self.broker.execute(make_work(READ), LINK)
        texts = [text for _, text, _ in self.server.received]
        self.assertEqual(texts, [b'SET x 1', b'READ a', b'RESET', b'READ a'])

    async def test_a_lost_answer_to_a_write_is_unknown(self) -> None:
        self.server.breaks_connection_on = WRITE.text
        answer = await self.broker.execute(make_work(WRITE), LINK)
        self.assertIs(answer.code, answers.Code.UNKNOWN_OUTCOME)

    async def test_a_lost_answer_to_a_read_has_no_effect(self) -> None:
        self.server.breaks_connection_on = READ.text
        answer = await self.broker.execute(make_work(READ), LINK)
        self.assertTrue(answer.has_no_effect)

    async def test_an_unreachable_server_has_not_run_a_write(self) -> None:
        self.server.is_down = True
        answer = await self.broker.execute(make_work(WRITE), LINK)
        self.assertTrue(answer.has_no_effect)
        self.assertFalse(answer.was_sent)

    async def test_a_lost_statement_rolls_its_transaction_back(
        self,
    ) -> None:
        await self._open_transaction(WRITE)
        self.server.breaks_connection_on = WRITE.text
        answer = await self._run_pinned(WRITE)
        self.assertIs(answer.code, answers.Code.ABORTED)
        self.assertTrue(self.server.connections[0].is_closed)

    async def test_a_lost_answer_to_a_commit_is_unknown(self) -> None:
        await self._open_transaction(WRITE)
        self.server.breaks_connection_on = COMMIT.text
        answer = await self._run_pinned(COMMIT)
        self.assertIs(answer.code, answers.Code.UNKNOWN_OUTCOME)

    async def test_transaction_of_a_caller_that_leaves_is_rolled_back(
        self,
    ) -> None:
        await self._open_transaction(WRITE)
        self.broker.release_pin((LINK, identifiers.PinId(7)))
        self.assertTrue(self.server.connections[0].is_closed)
        answer = await self._run_pinned(COMMIT)
        self.assertIs(answer.code, answers.Code.ABORTED)

    async def test_a_transaction_that_failed_at_once_is_not_kept(self) -> None:
        """Guards against lost connections: the opening is repeated.

        The server is full between BEGIN and the first statement.
        """
        opening = dataclasses.replace(
            make_work(WRITE), opens=work_module.Opens.TRANSACTION
        )
        full = answers.Answer(
            code=answers.Code.OVERLOADED,
            state=answers.TransactionState.FAILED,
            was_sent=True,
        )
        with mock.patch.object(
            platform_fakes.FakeConnection,
            'run',
            mock.AsyncMock(side_effect=[answers.Answer(), full] * 2),
        ):
            for _ in range(2):
                answer = await self.broker.execute(opening, LINK)
                self.assertIs(answer.code, answers.Code.OVERLOADED)
                self.assertFalse(answer.is_pinned)
        self.assertEqual(self.broker.pinned_count, 0)
        self.assertEqual(self.broker.connections.open_count, 0)

    async def test_idle_transactions_end(self) -> None:
        await self._open_transaction(WRITE)
        self.clock.advance(4)
        self.broker.sweep(idle_limit_seconds=3)
        self.assertEqual(self.broker.pinned_count, 0)

    async def test_a_closed_broker_keeps_no_connection(self) -> None:
        """Guards against connections that nobody closes any more.

        A statement was still running when the broker was closed.
        """
        running = asyncio.create_task(
            self.broker.execute(make_work(READ), LINK)
        )
        await asyncio.sleep(0)
        self.assertFalse(self.broker.is_idle)
        self.broker.close()
        self.assertTrue((await running).is_ok)
        self.assertTrue(self.server.connections[0].is_closed)

    async def test_connections_of_a_dead_host_fill_the_server(self) -> None:
        """Guards against refusals after a takeover.

        Load pattern: the former owner lost power, and the server still keeps
        its connections, which leaves half of the limit to this host.
        """
        self.server.connection_limit = CONNECTION_LIMIT
        self.server.dead_connections = IDLE_LIMIT
        await self._read_all()
        self.assertEqual(self.broker.connections.open_count, IDLE_LIMIT)

    async def test_a_full_server_fails_no_statement(self) -> None:
        self.server.connection_limit = CONNECTION_LIMIT
        self.server.dead_connections = CONNECTION_LIMIT - 2
        await self._read_all()
        self.assertEqual(self.broker.connections.open_count, 2)
        self.assertEqual(self.broker.activity.failures, 0)
        self.server.dead_connections = 0
        for _ in range(3):
            self.clock.advance(connection_budget.PROBE_INTERVAL_SECONDS)
            await self._read_all()
        self.assertEqual(self.broker.connections.open_count, IDLE_LIMIT)

    async def test_busy_connections_may_exceed_the_idle_limit(self) -> None:
        inside = answers.TransactionState.INSIDE
        self.server.states = {b'BEGIN': inside, WRITE.text: inside}
        for index in range(IDLE_LIMIT + 1):
            first_statement = dataclasses.replace(
                make_work(WRITE),
                opens=work_module.Opens.TRANSACTION,
                pin_id=identifiers.PinId(index),
            )
            self.assertTrue(
                (await self.broker.execute(first_statement, LINK)).is_ok
            )
        self.assertEqual(self.broker.connections.open_count, IDLE_LIMIT + 1)

    async def test_a_server_that_stays_full_refuses_after_a_limited_wait(
        self,
    ) -> None:
        self.server.refuses_with = answers.Code.TOO_MANY_CONNECTIONS
        waiting = asyncio.ensure_future(
            self.broker.execute(make_work(READ), LINK)
        )
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        self.clock.advance(workspace_connections.FULL_SERVER_WAIT_SECONDS + 0.1)
        answer = await waiting
        self.assertIs(answer.code, answers.Code.TOO_MANY_CONNECTIONS)
        self.assertEqual(self.broker.activity.failures, 0)

    async def test_each_answer_carries_the_load(self) -> None:
        """Guards against hosts that learn nothing from a rejection."""
        self.server.work_seconds = 0.1
        both = [
            asyncio.ensure_future(self.broker.execute(make_work(READ), LINK))
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        no_time = dataclasses.replace(make_work(READ), timeout=0)
        rejected = await self.broker.execute(no_time, LINK)
        self.assertIs(rejected.code, answers.Code.OVERLOADED)
        self.assertEqual(
            (rejected.load.capacity, rejected.load.running), (2, 2)
        )
        await asyncio.gather(*both)

    async def test_a_silent_server_fails(self) -> None:
        """Guards against a silent server that looks healthy.

        Its connections are gone, and statements give up before the opener.
        """
        self.broker = broker.Broker(
            server=self.server.backend(),
            opener=_SilentOpener(),
            connection_limit=CONNECTION_LIMIT,
            time_source=virtual_time.LoopClock(),
        )
        for _ in range(2):
            answer = await self.broker.execute(make_work(READ), LINK)
            self.assertFalse(answer.was_sent)
        self.assertGreater(answer.load.failure_share, 0.2)

    async def _read_all(self) -> None:
        """Read for more workspaces than connections may stay idle."""
        for index in range(CONNECTION_LIMIT):
            workspace = identifiers.WorkspaceName(f'workspace-{index}')
            answer = await self.broker.execute(make_work(READ, workspace), LINK)
            self.assertTrue(answer.is_ok)

    async def _open_transaction(self, command: commands.Command) -> None:
        inside = answers.TransactionState.INSIDE
        self.server.states = {b'BEGIN': inside, command.text: inside}
        first_statement = dataclasses.replace(
            make_work(command),
            opens=work_module.Opens.TRANSACTION,
        )
        answer = await self.broker.execute(first_statement, LINK)
        self.assertTrue(answer.is_pinned)

    async def _run_pinned(self, command: commands.Command) -> answers.Answer:
        pinned = dataclasses.replace(make_work(command), is_pinned=True)
        return await self.broker.execute(pinned, LINK)


class _SilentOpener:
    async def open(self, *_server_and_workspace: object) -> typing.Any:
        """Get no answer."""
        await asyncio.sleep(60)
