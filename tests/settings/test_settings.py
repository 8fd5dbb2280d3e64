import pathlib
import unittest

from egretstep import clock, identifiers
from egretstep.settings import freshness, loader, records, schema, tree

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
VALID = """
zones: {north: {}}
databases:
  loans:
    defaults: {rate: 70}
    servers: {s1: {zone: north, address: 127.0.0.1, port: 3306}}
workspaces:
  depot: {databases: [loans], defaults: {burst: 9}}
"""
INVALID = """
zones: {north: {defaults: {rate: 5}}}
databases:
  loans:
    slots: -1
    servers: {s1: {zone: north, address: host.example, port: 99999}}
colour: blue
"""


class LoaderTest(unittest.TestCase):
    def test_all_errors_are_reported_with_their_lines(self) -> None:
        parsed = loader.parse(text=INVALID, model=schema.FleetSettings)
        found = {problem.path: problem.line for problem in parsed.failure()}
        self.assertEqual(found['databases.loans.slots'], 5)
        self.assertEqual(found['databases.loans.servers.s1.port'], 6)
        self.assertEqual(found['databases.loans.servers.s1.address'], 6)
        self.assertEqual(found['colour'], 7)
        self.assertIn('zones.north.defaults', found)

    def test_an_unknown_database_is_reported(self) -> None:
        text = VALID.replace('[loans]', '[leons]')
        problems = loader.parse(text=text, model=schema.FleetSettings).failure()
        self.assertIn("'leons' is not a database", str(problems[0]))
        self.assertIn("one of ['loans']", str(problems[0]))

    def test_a_document_that_is_too_large_is_rejected(self) -> None:
        text = '#' * (loader.MAX_SETTINGS_BYTES + 1)
        parsed = loader.parse(text=text, model=schema.FleetSettings)
        self.assertIn('at most', str(parsed.failure()[0]))

    def test_invalid_yaml_is_reported(self) -> None:
        problems = loader.parse(text='a: [', model=schema.FleetSettings)
        self.assertEqual(problems.failure()[0].remedy, 'write valid YAML')

    def test_the_examples_are_valid(self) -> None:
        for path in EXAMPLES.glob('*/fleet.yaml'):
            loader.load(path=path, model=schema.FleetSettings).unwrap()
        for path in EXAMPLES.glob('*/host-*.yaml'):
            loader.load(path=path, model=schema.HostSettings).unwrap()


class TreeTest(unittest.TestCase):
    def test_values_come_from_the_most_specific_level(self) -> None:
        fleet = loader.parse(text=VALID, model=schema.FleetSettings).unwrap()
        values = tree.SettingsTree(fleet=fleet)
        levels = {
            name: values.explain(
                name=name,
                workspace='depot',
                database='loans',
            ).level
            for name in ('rate', 'burst', 'weight')
        }
        self.assertEqual(
            levels,
            {
                'rate': 'databases.loans',
                'burst': 'workspaces.depot',
                'weight': 'built-in',
            },
        )


class KeeperTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=100)
        self.keeper = freshness.SettingsKeeper(time_source=self.clock)

    def _adopt(self, version: int) -> bool:
        record = records.Record(
            version=version,
            change_id='x',
            witnesses=('a', 'b', 'c'),
            text=VALID,
        )
        return self.keeper.adopt(records.encode(record))

    def test_the_version_never_decreases(self) -> None:
        self.assertTrue(self._adopt(5))
        self.assertFalse(self._adopt(4))
        self.assertEqual(self.keeper.version, 5)

    def test_a_confirmation_is_dated_before_its_request(self) -> None:
        self._adopt(1)
        self.keeper.confirm_by_peer(
            vouch=freshness.Vouch(
                version=identifiers.SettingsVersion(1),
                age=0.5,
            ),
            sent_at=99,
        )
        self.assertEqual(self.keeper.confirmed_at, 98.5)

    def test_two_of_three_witnesses_confirm(self) -> None:
        self._adopt(1)
        one = [identifiers.SettingsVersion(1)]
        confirm = self.keeper.confirm_by_witnesses
        self.assertFalse(confirm(versions=one, sent_at=100))
        self.assertTrue(confirm(versions=one * 2, sent_at=100))

    def test_another_version_is_not_confirmed(self) -> None:
        self._adopt(2)
        self.keeper.confirm(version=identifiers.SettingsVersion(1), at=100)
        self.assertEqual(self.keeper.confirmed_at, freshness.NEVER)
