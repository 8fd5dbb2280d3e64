"""Nothing outside the adapter knows the platform's words."""

import pathlib
import re
import unittest

SOURCE = pathlib.Path(__file__).parents[2] / 'src' / 'egretstep'
ADAPTER = SOURCE / 'platform'
PROGRAMS = SOURCE / 'programs'
COMPOSITION = tuple(
    PROGRAMS / name for name in ('node.py', 'wiring.py', 'store_watches.py')
)
WORDS = re.compile(
    r'rows-tx|rows-get|rows-feed|expected_rev|SYNCPOS|STEPDOWN|DEALLOC\b'
    r'|EGRETSTEP_CONFIG|db_role|api_keys|route_type|bind_addrs|tombstone'
    r'|cold_remaining|READONLY|CONNLIMIT|WRONGNODE|INDOUBT|NOAUTH|NODB',
)
IMPORT = re.compile(r'egretstep\.platform|from egretstep import .*platform')


class BoundaryTest(unittest.TestCase):
    def test_words_stay_in_the_adapter(self) -> None:
        for path, text in self._outside():
            with self.subTest(path=path):
                self.assertEqual(WORDS.findall(text), [])

    def test_only_the_program_imports_the_adapter(self) -> None:
        for path, text in self._outside():
            if path not in COMPOSITION:
                with self.subTest(path=path):
                    self.assertIsNone(IMPORT.search(text))

    def _outside(self) -> list[tuple[pathlib.Path, str]]:
        return [
            (path, path.read_text())
            for path in sorted(SOURCE.rglob('*.py'))
            if ADAPTER not in path.parents
        ]
