"""Load pattern: callers reconnect while a host is starting.

The host has not read its configuration yet. A caller must not be refused for
a route or key that the host doesn't have yet.
"""

import asyncio
import socket
import unittest
import unittest.mock

from egretstep import clock, identifiers
from egretstep.backends import answers
from egretstep.callers import client_limits, session_services
from egretstep.platform import client_stream, ingress, wire
from egretstep.settings import deployment, node
from egretstep.supervision import stop_deadline
from tests import platform_fakes

ADDRESS = '127.0.0.1'
DATABASE = identifiers.DatabaseName('loans')
KEY = 'key-of-depot'
LIMITS = client_limits.derive(memory_mb=512, max_fds=4300)
CONFIGURED = deployment.Deployment(
    version=identifiers.SettingsVersion(1),
    routes={
        DATABASE: deployment.Route(
            database=DATABASE,
            service=platform_fakes.SERVICE,
            consistency=deployment.Consistency.PRIMARY,
            timeout=1,
            target=1,
            priority=1,
            max_staleness=None,
            is_open=False,
        ),
    },
    services={},
    workspaces={},
    workspaces_by_key={KEY: platform_fakes.DEPOT},
)


class IngressTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        with socket.socket() as probe:
            probe.bind((ADDRESS, 0))
            port = probe.getsockname()[1]
        self.current = deployment.EMPTY
        self.is_configured = asyncio.Event()
        self.server = ingress.Ingress(
            limits=LIMITS,
            address=node.Address(host=ADDRESS, port=port),
            services=session_services.SessionServices(
                current_deployment=lambda: self.current,
                dispatcher=unittest.mock.MagicMock(),
                rate_limiter=unittest.mock.MagicMock(),
                release_here=unittest.mock.MagicMock(),
                stop=stop_deadline.StopDeadline(
                    time_source=clock.MonotonicClock()
                ),
                is_configured=self.is_configured,
            ),
        )
        self.server_task = asyncio.ensure_future(self.server.run())
        await asyncio.sleep(0.05)
        streams = await asyncio.open_connection(ADDRESS, port)
        self.reader = streams[0]
        self.writer = streams[1]

    async def asyncTearDown(self) -> None:
        self.writer.close()
        while self.server.close_idle():
            await asyncio.sleep(0.01)
        self.server_task.cancel()

    async def test_a_caller_waits_until_the_host_is_configured(self) -> None:
        self.writer.write(f'START {DATABASE} {KEY}\r\n'.encode())
        reply = asyncio.ensure_future(self.reader.readline())
        await asyncio.sleep(0.1)
        self.assertFalse(reply.done())
        self.current = CONFIGURED
        self.is_configured.set()
        self.assertEqual(await reply, b'READY I -\r\n')

    async def test_a_caller_that_leaves_is_not_kept_until_then(self) -> None:
        """Guards against descriptors of callers that are gone."""
        self.writer.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.server._connections, set())

    async def _start(self) -> None:
        self.current = CONFIGURED
        self.is_configured.set()
        self.writer.write(f'START {DATABASE} {KEY}\r\n'.encode())
        await self.reader.readline()

    async def test_the_longest_message_is_served(self) -> None:
        await self._start()
        head = b'QUERY 1 SET name '
        self.writer.write(head.ljust(wire.MAX_MESSAGE_BYTES, b'x'))
        self.writer.write(wire.LINE_END)
        self.assertIn(b'COMPLETE', await self.reader.readline())
        self.writer.write(b'QUERY 2 SET name 1\r\n')
        self.assertIn(b'READY', await self.reader.readline())
        self.assertIn(b'COMPLETE', await self.reader.readline())

    async def test_a_longer_message_is_refused(self) -> None:
        await self._start()
        self.writer.write(b'QUERY 1 SET name '.ljust(2 * 1024 * 1024, b'x'))
        self.assertIn(b'MALFORMED', await self.reader.readline())

    async def test_only_large_messages_are_refused_for_want_of_room(
        self,
    ) -> None:
        await self._start()
        running = self.server.budget.open(lambda: None)
        running.charge(LIMITS.buffered_bytes)
        self.writer.write(b'QUERY 1 SET name 1\r\n')
        self.assertIn(b'COMPLETE', await self.reader.readline())
        self.assertIn(b'READY', await self.reader.readline())
        self.writer.write(b'QUERY 2 SET name '.ljust(20000, b'x'))
        self.assertIn(b'ERROR BUSY', await self.reader.readline())
        self.assertEqual(await self.reader.read(), b'')

    async def test_a_session_begins_with_a_small_message(self) -> None:
        """Guards against clients without a key that fill the budget."""
        self.writer.write(b'START '.ljust(20000, b'x'))
        self.assertIn(b'MALFORMED', await self.reader.readline())
        self.assertEqual(self.server.budget.held_bytes, 0)

    async def test_a_refused_client_that_goes_on_sending_reads_why(
        self,
    ) -> None:
        """Guards against a reset that hides the refusal from the client."""
        await self._start()
        self.server.budget.open(lambda: None).charge(LIMITS.buffered_bytes)
        for _ in range(5):
            self.writer.write(b'x' * 100000)
            await asyncio.sleep(0.02)
        self.assertIn(b'ERROR BUSY', await self.reader.readline())
        self.assertEqual(await self.reader.read(), b'')

    async def test_a_half_sent_message_has_a_time_limit(self) -> None:
        await self._start()
        self.writer.write(b'QUERY 1 SET na')
        with unittest.mock.patch.object(client_limits, 'TRANSFER_SECONDS', 0.1):
            self.assertIn(b'ERROR BUSY', await self.reader.readline())

    async def test_a_session_may_rest_between_statements(self) -> None:
        with unittest.mock.patch.object(client_limits, 'TRANSFER_SECONDS', 0.1):
            await self._start()
            await asyncio.sleep(1.3)
            self.writer.write(b'QUERY 1 SET name 1\r\n')
            self.assertIn(b'COMPLETE', await self.reader.readline())

    async def test_a_client_that_was_refused_is_evicted_once_more(
        self,
    ) -> None:
        """Guards against an error that reaches the client that needs room."""
        await self._start()
        self.server.budget.open(lambda: None).charge(LIMITS.buffered_bytes)
        self.writer.write(b'x' * 20000)
        self.assertIn(b'ERROR BUSY', await self.reader.readline())
        connection = next(iter(self.server._connections))
        connection.stream._evict()
        connection.refuse()
        self.assertEqual(await self.reader.read(), b'')

    async def test_a_half_sent_answer_is_not_continued_by_an_error(
        self,
    ) -> None:
        """The kernel has taken the first row when the client is evicted."""
        stream, transport = _make_stream()
        writer = unittest.mock.Mock(transport=transport)
        writer.write.side_effect = lambda _message: stream._evict()
        row = b'r' * client_stream.ROW_BY_ROW_BYTES
        await stream.send(writer, answers.Answer(rows=(row,)))
        transport.write.assert_not_called()
        transport.close.assert_called()

    async def test_nothing_runs_after_a_refusal(self) -> None:
        """A statement had arrived when its connection made room."""
        stream, _ = _make_stream()
        reader = asyncio.StreamReader()
        reader.feed_data(b'QUERY 1 WRITE key value\r\n')
        stream.refuse_busy('connections', 'too many connections')
        line = await stream.read_message(reader, may_be_large=True)
        self.assertIsNone(line)

    async def test_the_time_limit_survives_a_failure(self) -> None:
        await self._start()
        connection = next(iter(self.server._connections))
        failing = unittest.mock.Mock(side_effect=[ValueError, None])
        with unittest.mock.patch.object(
            connection, 'close_if_overdue', failing
        ):
            await asyncio.sleep(2.5)
        self.assertEqual(failing.call_count, 2)

    async def test_an_unknown_database_is_refused(self) -> None:
        self.current = CONFIGURED
        self.is_configured.set()
        self.writer.write(f'START other {KEY}\r\n'.encode())
        self.assertIn(b'NODB', await self.reader.readline())


def _make_stream() -> tuple[client_stream.ClientStream, unittest.mock.Mock]:
    """Return a stream without room, with a transport that takes all bytes."""
    budget = client_limits.ByteBudget(
        total_bytes=0, time_source=clock.ManualClock()
    )
    stream = client_stream.ClientStream(
        budget=budget, session_budget=budget, limits=unittest.mock.Mock()
    )
    transport = unittest.mock.Mock()
    transport.is_closing.return_value = False
    transport.get_write_buffer_size.return_value = 0
    stream.attach(transport)
    return stream, transport
