import asyncio
import socket
import unittest
from unittest import mock

import capnp

from egretstep import clock, errors, sockets
from egretstep.peers import link_table, links, listening, schema

ADDRESS = '127.0.0.1'


class _Pool(schema.Pool.Server):
    def __init__(self, closed: list[int]) -> None:
        self._closed = closed
        self.is_silent = False
        self.heartbeats = 0

    async def heartbeat(self, **_kwargs: object) -> None:
        """Answer at once, unless this pool is silent."""
        self.heartbeats += 1
        if self.is_silent:
            await asyncio.Event().wait()

    async def release(self, pinId: int, **_kwargs: object) -> None:
        await asyncio.sleep(pinId)

    async def link_closed(self) -> None:
        self._closed.append(1)


async def _close_after_delay(
    _reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await asyncio.sleep(0.1)
    writer.close()


class LinkTest(unittest.TestCase):
    def setUp(self) -> None:
        with socket.socket() as probe:
            probe.bind((ADDRESS, 0))
            self.port = probe.getsockname()[1]
        self.closed: list[int] = []
        self.pool = _Pool(self.closed)

    def _run(self, check: object) -> None:
        async def main() -> None:
            listener = listening.Listener(
                address=ADDRESS,
                port=self.port,
                make_server=lambda: self.pool,
            )
            task = asyncio.create_task(listener.run())
            await asyncio.sleep(0.05)
            try:
                await check()
            finally:
                task.cancel()

        asyncio.run(capnp.run(main()))

    def _link(self) -> links.Link:
        return links.Link(
            address=ADDRESS,
            port=self.port,
            interface=schema.Pool,
        )

    def test_garbage_and_early_close_do_not_stop_the_listener(self) -> None:
        async def check() -> None:
            for garbage in [b''] * 50 + [bytes(range(64))] * 20:
                with socket.create_connection((ADDRESS, self.port)) as peer:
                    peer.sendall(garbage)
                await asyncio.sleep(0)
            link = self._link()
            await link.call(lambda pool: pool.heartbeat(), timeout=1)
            link.close()

        self._run(check)

    def test_timeout_is_lost_and_failed_connect_is_not_sent(self) -> None:
        async def check() -> None:
            link = self._link()
            with self.assertRaises(errors.LinkLostError):
                await link.call(lambda pool: pool.release(5), timeout=0.05)
            link.close()
            unreachable = links.Link(
                address=ADDRESS, port=1, interface=schema.Pool
            )
            with self.assertRaises(errors.LinkError):
                await unreachable.call(lambda pool: pool.heartbeat(), timeout=1)

        self._run(check)

    def test_the_time_to_connect_counts_for_a_call(self) -> None:
        """A call of 0.4 s to a host that is cut off took 0.9 s."""

        async def check() -> None:
            link = self._link()
            with mock.patch.object(link, '_open', lambda: asyncio.sleep(0.5)):
                call = link.call(lambda pool: pool.heartbeat(), timeout=0.1)
                with self.assertRaises(errors.LinkError):
                    await asyncio.wait_for(
                        call, links.CONNECT_TIMEOUT_SECONDS / 2
                    )

        self._run(check)

    def test_a_long_poll_that_times_out_closes_a_silent_link(self) -> None:
        """Such a link stayed open for ever, and was used for each poll."""

        async def check() -> None:
            self.pool.is_silent = True
            link = self._checked_link()
            with self.assertRaises(errors.LinkLostError):
                await link.call(
                    lambda pool: pool.release(5), timeout=0.2, is_long_poll=True
                )
            await asyncio.sleep(links.LATE_POLL_HEARTBEAT_TIMEOUT_SECONDS + 0.2)
            self.assertFalse(link.is_open)

        self._run(check)

    def test_a_long_poll_that_times_out_keeps_a_link_that_answers(self) -> None:
        async def check() -> None:
            link = self._checked_link()
            with self.assertRaises(errors.LinkLostError):
                await link.call(
                    lambda pool: pool.release(5), timeout=0.2, is_long_poll=True
                )
            await asyncio.sleep(links.LATE_POLL_HEARTBEAT_TIMEOUT_SECONDS + 0.2)
            self.assertTrue(link.is_open)
            link.close()

        self._run(check)

    def test_a_slow_answer_to_a_long_poll_arrives(self) -> None:
        """Heartbeats behind a large configuration had no answer in time."""

        async def check() -> None:
            self.pool.is_silent = True
            link = self._checked_link()
            await link.call(
                lambda pool: pool.release(1), timeout=4, is_long_poll=True
            )
            self.assertTrue(link.is_open)
            self.assertEqual(self.pool.heartbeats, 0)
            link.close()

        self._run(check)

    def _checked_link(self) -> links.Link:
        return links.Link(
            address=ADDRESS,
            port=self.port,
            interface=schema.Pool,
            heartbeat=lambda pool: pool.heartbeat(),
            heartbeat_timeout=0.1,
        )

    def test_a_link_without_heartbeats_is_closed_by_a_timeout(self) -> None:
        """Agents asked witnesses over a silent link again and again."""

        async def check() -> None:
            self.pool.is_silent = True
            link = self._link()
            with self.assertRaises(errors.LinkLostError):
                await link.call(lambda pool: pool.heartbeat(), timeout=0.1)
            self.assertFalse(link.is_open)

        self._run(check)

    def test_a_long_poll_is_sent_few_heartbeats(self) -> None:
        async def check() -> None:
            link = links.Link(
                address=ADDRESS,
                port=self.port,
                interface=schema.Pool,
                heartbeat=lambda pool: pool.heartbeat(),
            )
            await link.call(
                lambda pool: pool.release(1), timeout=4, is_long_poll=True
            )
            link.close()
            self.assertLessEqual(self.pool.heartbeats, 3)

        self._run(check)

    def test_table_closes_idle_links(self) -> None:
        source = clock.ManualClock()
        table = link_table.LinkTable(interface=schema.Pool, time_source=source)

        async def check() -> None:
            first = table.get(ADDRESS, self.port)
            await first.call(lambda pool: pool.heartbeat(), timeout=1)
            self.assertIs(table.get(ADDRESS, self.port), first)
            source.advance(link_table.IDLE_TIMEOUT_SECONDS + 1)
            table.get(ADDRESS, 1)
            source.advance(link_table.IDLE_TIMEOUT_SECONDS + 1)
            table.get(ADDRESS, 2)
            self.assertFalse(first.is_open)
            self.assertEqual(len(table), 1)

        self._run(check)

    def test_link_closes_when_the_peer_disconnects(self) -> None:
        async def check() -> None:
            server = await asyncio.start_server(
                _close_after_delay,
                ADDRESS,
                0,
            )
            port = server.sockets[0].getsockname()[1]
            link = links.Link(
                address=ADDRESS,
                port=port,
                interface=schema.Pool,
                heartbeat=lambda pool: pool.heartbeat(),
            )
            with self.assertRaises(errors.LinkLostError):
                await link.call(lambda pool: pool.heartbeat(), timeout=0.05)
            self.assertTrue(link.is_open)
            await asyncio.sleep(0.2)
            self.assertFalse(link.is_open)
            server.close()

        self._run(check)

    def test_a_caller_that_vanishes_is_noticed_by_the_kernel(self) -> None:
        """Its end never arrives, so that each one left a socket open."""
        options: list[int] = []

        async def read_options(
            _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            accepted = writer.get_extra_info('socket')
            options.append(
                accepted.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            )
            options.append(
                accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
            )
            writer.close()

        async def check() -> None:
            server = await asyncio.start_server(read_options, ADDRESS, 0)
            sockets.detect_dead_callers(server)
            port = server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection(ADDRESS, port)
            await reader.read()
            writer.close()
            server.close()

        self._run(check)
        self.assertEqual(options, [1, sockets.KEEPALIVE_IDLE_SECONDS])

    def test_listener_reports_the_end_of_a_link(self) -> None:
        async def check() -> None:
            link = self._link()
            await link.call(lambda pool: pool.heartbeat(), timeout=1)
            link.close()
            await asyncio.sleep(0.1)
            self.assertEqual(len(self.closed), 1)

        self._run(check)
