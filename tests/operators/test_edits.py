import unittest

from egretstep import errors
from egretstep.operators import edits
from egretstep.settings import schema

TEXT = """# the fleet
zones:
  north: {}  # first
workspaces:
  depot:
    databases: [loans]
    keys:
      first: {digest: '0'}
"""


class EditsTest(unittest.TestCase):
    def test_comments_are_kept(self) -> None:
        changed = edits.set_state(
            TEXT,
            section='zones',
            name='north',
            state=schema.AvailabilityState.OUT,
        )
        self.assertIn('# the fleet', changed)
        self.assertIn('state: out', changed)

    def test_keys_are_added_and_withdrawn(self) -> None:
        added = edits.add_key(
            TEXT,
            workspace='depot',
            name='second',
            digest='1',
        )
        withdrawn = edits.withdraw_key(added, workspace='depot', name='first')
        self.assertIn('second', withdrawn)
        self.assertIn('state: withdrawn', withdrawn)
        with self.assertRaises(errors.SettingsError):
            edits.add_key(added, workspace='depot', name='second', digest='1')

    def test_error_for_unknown_name_lists_known_names(self) -> None:
        with self.assertRaises(errors.SettingsError) as raised:
            edits.withdraw_key(TEXT, workspace='depott', name='first')
        self.assertIn("one of ['depot']", str(raised.exception))
