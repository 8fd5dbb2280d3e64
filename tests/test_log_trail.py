"""Trail of the log lines that explain a request."""

import pathlib
import random
import subprocess
import sys
import tempfile
import unittest

from egretstep.observability import log_trail

REQUEST = (
    b'{"time":"2026-01-28T16:51:46.413567","level":"INFO","channel":"request",'
    b'"message":"failed","id":"4f2a","outcome":"overloaded",'
    b'"host":"host-2","workspace":"depot"}'
)
OTHER_REQUEST = REQUEST.replace(b'4f2a', b'9c1b')
HOST_AVOIDED = (
    b'{"time":"2026-01-28T16:51:45.100000","level":"INFO",'
    b'"channel":"directory","message":"host host-2 is avoided: no answer"}'
)
OTHER_HOST_AVOIDED = HOST_AVOIDED.replace(b'host-2', b'host-7')
PRIMARY_REPLACED = (
    b'{"time":"2026-01-28T16:51:45.900000","level":"INFO",'
    b'"channel":"primary","message":"service ledger: replacing a: down"}'
)
OLD_PRIMARY_REPLACED = PRIMARY_REPLACED.replace(b'16:51:45', b'16:41:45')
LINES = [
    OTHER_REQUEST,
    PRIMARY_REPLACED,
    OTHER_HOST_AVOIDED,
    HOST_AVOIDED,
    OLD_PRIMARY_REPLACED,
    REQUEST,
]


class LogTrailTest(unittest.TestCase):
    def _find_trail(self, lines: list[bytes], request_id: str) -> list[str]:
        read = log_trail.LogReader().read('host-1', lines)
        return [
            f'{line.channel} {line.message}'
            for line in log_trail.find_trail(read, request_id)
        ]

    def test_trail_contains_related_lines_before_the_request(self) -> None:
        self.assertEqual(
            self._find_trail(LINES, '4f2a'),
            [
                'directory host host-2 is avoided: no answer',
                'primary service ledger: replacing a: down',
                'request failed',
            ],
        )

    def test_unknown_id_has_no_trail(self) -> None:
        self.assertEqual(self._find_trail(LINES, 'none'), [])

    def test_malformed_lines_are_counted_and_skipped(self) -> None:
        randomness = random.Random(7)
        malformed = [
            REQUEST[: randomness.randrange(len(REQUEST))] for _ in range(200)
        ]
        malformed += [b'[]', b'null', b'{"time":3}', b'Traceback (most recent)']
        reader = log_trail.LogReader()
        read = list(reader.read('host-1', [*malformed, REQUEST]))
        self.assertEqual([line.request_id for line in read], ['4f2a'])
        self.assertEqual(reader.skipped, len(malformed))


class TraceCommandTest(unittest.TestCase):
    def _run(self, request_id: str) -> subprocess.CompletedProcess[str]:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'host-1.log'
            path.write_bytes(b'\n'.join(LINES))
            return subprocess.run(
                [
                    sys.executable,
                    '-m',
                    'egretstep.programs.command',
                    'trace',
                    request_id,
                    str(path),
                ],
                capture_output=True,
                text=True,
                check=False,
            )

    def test_the_trail_is_printed(self) -> None:
        completed = self._run('4f2a')
        self.assertEqual(completed.returncode, 0, completed.stderr)
        self.assertIn(
            'host-1 primary service ledger: replacing', completed.stdout
        )
        self.assertEqual(len(completed.stdout.splitlines()), 3)

    def test_unknown_id_is_explained(self) -> None:
        completed = self._run('none')
        self.assertEqual(completed.returncode, 1)
        self.assertIn('it went well', completed.stderr)
