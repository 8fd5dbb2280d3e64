"""The mutants fit the code that they change."""

import pathlib
import unittest

from tests import mutations

ROOT = pathlib.Path(__file__).parents[1]


class MutationsTest(unittest.TestCase):
    """Mutants went stale unnoticed, as CI does not run them."""

    def test_each_mutant_changes_one_place(self) -> None:
        for mutant in mutations.MUTANTS:
            with self.subTest(mutant.name):
                text = (ROOT / mutant.path).read_text()
                self.assertEqual(text.count(mutant.old), 1)
