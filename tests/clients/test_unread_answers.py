"""Guards against answers that clients do not read."""

import asyncio

from tests.clients import host_case

CLIENTS = 150
SLOW_CLIENTS = 60
ROW_BYTES = host_case.MIB - 100
ROWS = 8
STATEMENT = b'QUERY 1 READ item\r\n'
PIPELINED_STATEMENTS = 100_000
# The stand-in server needs about this time for an answer.
ANSWER_SECONDS = 0.15
RECEIVE_BUFFER_BYTES = 4 * host_case.KIB
SEND_SECONDS = 3.0


class UnreadAnswersTest(host_case.HostCase):
    async def test_pipelined_on_one_connection(self) -> None:
        """Guard: passed without the limits, as a statement at a time runs."""
        async with self.host(host_case.LIMITS) as clients:
            self._return_large_rows()
            await clients.connect(1, RECEIVE_BUFFER_BYTES)
            await clients.start()
            await clients.send(STATEMENT * PIPELINED_STATEMENTS, SEND_SECONDS)
            await asyncio.sleep(SEND_SECONDS)
            self._return_small_rows()

    async def test_pipelined_on_many_connections(self) -> None:
        async with self.host(host_case.LIMITS) as clients:
            self._return_large_rows()
            await clients.connect(CLIENTS, RECEIVE_BUFFER_BYTES)
            await clients.start()
            await clients.send(STATEMENT * PIPELINED_STATEMENTS, SEND_SECONDS)
            await asyncio.sleep(SEND_SECONDS)
            self._return_small_rows()

    async def test_read_very_slowly(self) -> None:
        async with self.host(host_case.LIMITS) as clients:
            self._return_large_rows()
            await clients.connect(SLOW_CLIENTS, RECEIVE_BUFFER_BYTES)
            await clients.start()
            await clients.send_in_turn(STATEMENT, ANSWER_SECONDS)
            await clients.receive_slowly(rounds=10, pause=0.1)
            self._return_small_rows()

    def _return_large_rows(self) -> None:
        self._set_row_bytes(ROW_BYTES)

    def _return_small_rows(self) -> None:
        self._set_row_bytes(0)

    def _set_row_bytes(self, size: int) -> None:
        for server in self.fleet.group.servers.values():
            server.faults.row_bytes = size
            server.faults.row_count = ROWS
