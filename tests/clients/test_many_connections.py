"""Guards against connections that use up the descriptors of a host."""

from tests.clients import crowd, host_case

CLIENTS = 700
LIMITS = {'max_fds': 500, 'memory_mb': 200}
SLOW_QUERY = b'QUERY 1 READ item\r\n'
SLOW_BYTES = 6


class ManyConnectionsTest(host_case.HostCase):
    async def test_that_never_start_a_session(self) -> None:
        async with self.host(LIMITS) as clients:
            await clients.connect(CLIENTS)

    async def test_that_are_idle_in_a_session(self) -> None:
        async with self.host(LIMITS) as clients:
            await clients.connect(CLIENTS)
            await clients.start()

    async def test_that_start_a_session_slowly(self) -> None:
        async with self.host(LIMITS) as clients:
            await clients.connect(CLIENTS)
            await clients.send_in_pieces(crowd.START[:SLOW_BYTES], 1, 0.1)

    async def test_that_send_a_statement_slowly(self) -> None:
        async with self.host(LIMITS) as clients:
            await clients.connect(CLIENTS)
            await clients.start()
            await clients.send_in_pieces(SLOW_QUERY[:SLOW_BYTES], 1, 0.1)
