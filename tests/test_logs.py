"""Log streams are limited and never block; JSON lines carry all fields."""

import os
import unittest

import logbook
import orjson

from egretstep import clock
from egretstep.observability import bounded_stream, logs


class BoundedStreamTest(unittest.TestCase):
    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.reader = reader
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.clock = clock.ManualClock()
        self.stream = bounded_stream.BoundedStream(
            descriptor=writer,
            time_source=self.clock,
            format_drop_notice='{} dropped'.format,
        )

    def test_a_full_pipe_drops_lines_without_blocking(self) -> None:
        for _ in range(1000):
            self.clock.advance(1)
            self.stream.write('long line\n' * 100)
        self.assertGreater(self.stream.dropped, 0)

    def test_lines_above_the_rate_are_counted(self) -> None:
        for _ in range(bounded_stream.MAX_BURST_LINES + 50):
            self.stream.write('line\n')
        self.assertEqual(self.stream.dropped, 50)
        self.clock.advance(1)
        self.stream.write('next\n')
        written = os.read(self.reader, 1 << 20).decode().splitlines()
        self.assertEqual(written[-2:], ['50 dropped', 'next'])


class JsonFormatterTest(unittest.TestCase):
    def test_extra_fields_of_a_record_are_fields_of_the_line(self) -> None:
        record = logbook.LogRecord(
            'request',
            logbook.INFO,
            'refused',
            extra={'id': '5c0e', 'reason': 'rate'},
        )
        record.heavy_init()
        line = logs.JsonFormatter()(record, logbook.NullHandler())
        fields = orjson.loads(line)
        self.assertEqual(fields['message'], 'refused')
        self.assertEqual((fields['id'], fields['reason']), ('5c0e', 'rate'))
