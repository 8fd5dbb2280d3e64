"""Names of the platform's protocols and data occur only in the adapter."""

import pathlib
import re
import unittest

SOURCE = pathlib.Path(__file__).parents[2] / 'src' / 'egretstep'
ADAPTER = SOURCE / 'platform'
PROGRAMS = SOURCE / 'programs'
MAY_IMPORT_ADAPTER = tuple(
    PROGRAMS / name for name in ('node.py', 'wiring.py', 'store_watches.py')
)
PLATFORM_WORDS = re.compile(
    r'rows-tx|rows-get|rows-feed|expected_rev|SYNCPOS|STEPDOWN|DEALLOC\b'
    r'|EGRETSTEP_CONFIG|db_role|api_keys|route_type|bind_addrs|tombstone'
    r'|cold_remaining|READONLY|CONNLIMIT|WRONGNODE|INDOUBT|NOAUTH|NODB',
)
IMPORT = re.compile(r'egretstep\.platform|from egretstep import .*platform')


class BoundaryTest(unittest.TestCase):
    def test_platform_words_occur_only_in_the_adapter(self) -> None:
        for path, text in self._sources_outside():
            with self.subTest(path=path):
                self.assertEqual(PLATFORM_WORDS.findall(text), [])

    def test_only_the_host_program_imports_the_adapter(self) -> None:
        for path, text in self._sources_outside():
            if path not in MAY_IMPORT_ADAPTER:
                with self.subTest(path=path):
                    self.assertIsNone(IMPORT.search(text))

    def _sources_outside(self) -> list[tuple[pathlib.Path, str]]:
        return [
            (path, path.read_text())
            for path in sorted(SOURCE.rglob('*.py'))
            if ADAPTER not in path.parents
        ]
