"""Guards against messages that exhaust the memory of a host."""

from tests.clients import host_case

CLIENTS = 400
PIECE_BYTES = 32 * host_case.KIB
LARGE_PIECE_BYTES = 256 * host_case.KIB
EXCESSIVE_BYTES = 8 * host_case.MIB
SESSION_VALUES = 300
LINE_END = b'\r\n'
_HEAD = b'QUERY 1 READ item '
# The longest message of the protocol, without its line end.
LARGE_MESSAGE = _HEAD.ljust(host_case.MIB - len(LINE_END), b'x')


class LargeMessagesTest(host_case.HostCase):
    async def test_in_one_piece(self) -> None:
        async with self.host(host_case.LIMITS) as clients:
            self.fleet.group.primary.faults.work = 0.5
            await clients.connect(CLIENTS)
            await clients.start()
            await clients.send(b'%s\r\n' % LARGE_MESSAGE)

    async def test_in_small_pieces(self) -> None:
        async with self.host(host_case.LIMITS) as clients:
            await clients.connect(CLIENTS)
            await clients.start()
            await clients.send_in_pieces(LARGE_MESSAGE, PIECE_BYTES)
            await clients.send(LINE_END)

    async def test_half_sent(self) -> None:
        async with self.host(host_case.LIMITS) as clients:
            await clients.connect(CLIENTS)
            await clients.start()
            await clients.send(LARGE_MESSAGE)

    async def test_half_sent_before_the_session_starts(self) -> None:
        async with self.host(host_case.LIMITS) as clients:
            await clients.connect(CLIENTS)
            await clients.send(b'START %s' % LARGE_MESSAGE)

    async def test_far_too_long(self) -> None:
        async with self.host(host_case.LIMITS) as clients:
            await clients.connect(CLIENTS)
            await clients.start()
            message = _HEAD.ljust(EXCESSIVE_BYTES, b'x')
            await clients.send_in_pieces(message, LARGE_PIECE_BYTES)

    async def test_kept_as_values_of_a_session(self) -> None:
        async with self.host(host_case.LIMITS) as clients:
            await clients.connect(1)
            await clients.start()
            text = b'x' * (host_case.MIB - 100)
            for number in range(SESSION_VALUES):
                await clients.send(
                    b'QUERY 1 SET value-%d %s\r\n' % (number, text)
                )
