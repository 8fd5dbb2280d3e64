"""Codec of the line protocol and of rows, also with random input."""

import asyncio
import contextlib
import random
import unittest

import orjson

from egretstep import identifiers
from egretstep.backends import answers, commands
from egretstep.platform import operator_settings, registrations, wire
from egretstep.storage import tables
from tests import platform_fakes

FUZZ_SEED = 20261204
FUZZ_CASES = 3000


class WireTest(unittest.IsolatedAsyncioTestCase):
    def test_commands(self) -> None:
        cases = {
            b'READ 1a4': commands.Action.READ,
            b'WRITE 1a4 x y': commands.Action.WRITE,
            b'BEGIN': commands.Action.BEGIN,
            b'BEGIN READ': commands.Action.BEGIN_READ,
            b'COMMIT': commands.Action.COMMIT,
            b'SET a b c': commands.Action.SET,
            b'READ': commands.Action.UNKNOWN,
            b'SYNCPOS 1.2 READ x': commands.Action.UNKNOWN,
        }
        for text, action in cases.items():
            with self.subTest(text=text):
                command = wire.parse_command(text)
                self.assertIs(command.action, action)
                self.assertEqual(command.text, text)

    def test_an_answer_to_a_caller(self) -> None:
        answer = answers.Answer(
            rows=(b'one', b'two words'),
            proof=b'mac',
            state=answers.TransactionState.INSIDE,
            position=identifiers.LogPosition(3, 1209),
        )
        self.assertEqual(
            wire.format_answer(answer),
            b'ROW one\r\nROW two words\r\nCOMPLETE mac\r\nREADY T 3.1209\r\n',
        )

    def test_a_refusal_tells_the_retry_delay(self) -> None:
        answer = answers.refusal(
            answers.Code.OVERLOADED,
            'above its rate\r\nROW forged',
            retry_after_ms=120,
        )
        self.assertEqual(
            wire.format_answer(answer),
            b'ERROR BUSY above its rate ROW forged; retry after 120 ms\r\n'
            b'READY I -\r\n',
        )

    def test_an_answer_of_a_server(self) -> None:
        answer_reader = wire.AnswerReader()
        self.assertIsNone(answer_reader.add(b'ROW a'))
        self.assertIsNone(answer_reader.add(b'ERROR LAGGING i-1'))
        answer = answer_reader.add(b'READY I 2.7')
        self.assertEqual(answer and answer.code, answers.Code.BEHIND)
        self.assertEqual(answer and answer.position, (2, 7))

    async def test_a_line_that_is_too_long(self) -> None:
        reader = asyncio.StreamReader(limit=64)
        reader.feed_data(b'x' * 200)
        with self.assertRaises(wire.MalformedError):
            await wire.read_line(reader)

    async def test_a_long_message_is_read_in_pieces(self) -> None:
        """Guards against bytes lost where a piece ends, also in a line end."""
        for seed in range(20):
            generator = random.Random(seed)
            lines = [
                b'x' * generator.choice((0, 10, 63, 64, 65, 128, 1000))
                for _ in range(20)
            ]
            reader = asyncio.StreamReader(limit=64)
            feeding = asyncio.ensure_future(_feed(reader, lines, generator))
            charged: list[int] = []
            for line in lines:
                charged.clear()
                self.assertEqual(
                    await wire.read_line(reader, charged.append), line
                )
                if charged:
                    self.assertEqual(sum(charged), len(line) + 2)
            await feeding

    async def test_a_message_has_a_longest_size(self) -> None:
        for excess in (0, 1):
            reader = asyncio.StreamReader(limit=64)
            reader.feed_data(b'x' * (wire.MAX_MESSAGE_BYTES + excess))
            reader.feed_data(wire.LINE_END)
            read = wire.read_line(reader, lambda _size: None)
            if excess:
                with self.assertRaises(wire.MalformedError):
                    await read
            else:
                self.assertEqual(len(await read), wire.MAX_MESSAGE_BYTES)

    def test_random_messages_are_parsed_or_refused(self) -> None:
        generator = random.Random(FUZZ_SEED)
        fields = [
            b'READ',
            b'READY',
            b'ROW',
            b'ERROR',
            b'T',
            b'1.2',
            b'',
            b'\xff',
        ]
        for _ in range(FUZZ_CASES):
            line = b' '.join(
                generator.choice(fields) for _ in range(generator.randrange(6))
            )
            wire.parse_command(line)
            wire.parse_prepared(line)
            wire.parse_position(line)
            with contextlib.suppress(wire.MalformedError):
                wire.AnswerReader().add(line)


async def _feed(
    reader: asyncio.StreamReader,
    lines: list[bytes],
    generator: random.Random,
) -> None:
    content = b''.join(b'%s\r\n' % line for line in lines)
    while content:
        size = generator.randrange(1, 100)
        reader.feed_data(content[:size])
        content = content[size:]
        await asyncio.sleep(0)


def _row(content: bytes) -> tables.Row:
    return tables.Row(
        key='i-1', content=content, version=platform_fakes.version(1)
    )


class StoredRowsTest(unittest.TestCase):
    def test_malformed_registrations_are_ignored(self) -> None:
        valid = {
            'service': 's',
            'address': '10.0.0.1:80',
            'zone': 'z',
            'slots': 3,
            'state': 'ready',
            'db_role': 'replica',
        }
        self.assertIsNotNone(
            registrations.decode_row(_row(orjson.dumps(valid))),
        )
        malformed: list[dict[str, object]] = [
            {'slots': '3'},
            {'slots': 0},
            {'state': 'asleep'},
            {'db_role': None},
            {'address': 7},
            {'address': 'nowhere'},
            {'service': ['s']},
            {'born': 'x'},
        ]
        for changed in malformed:
            with self.subTest(changed=changed):
                content = orjson.dumps({**valid, **changed})
                self.assertIsNone(registrations.decode_row(_row(content)))

    def test_random_rows_are_ignored(self) -> None:
        generator = random.Random(FUZZ_SEED)
        for _ in range(FUZZ_CASES // 10):
            content = generator.randbytes(generator.randrange(60))
            self.assertIsNone(registrations.decode_row(_row(content)))

    def test_evacuated_zones(self) -> None:
        self.assertEqual(
            operator_settings.zones_out({
                'evacuate/north': None,
                'config': None,
            }),
            {'north'},
        )
