import unittest
import unittest.mock

from egretstep import clock, identifiers
from egretstep.membership import view
from egretstep.pooling import tokens
from egretstep.settings import schema, tree

DATABASE = identifiers.DatabaseName('d')
WORKSPACE = identifiers.WorkspaceName('w')
FLEET = schema.FleetSettings.model_validate({
    'zones': {'z': {}},
    'databases': {
        'd': {
            'servers': {'s': {'zone': 'z', 'address': '127.0.0.1', 'port': 1}}
        },
    },
    'workspaces': {
        'w': {'databases': ['d'], 'defaults': {'rate': 10, 'burst': 5}},
    },
})


class TokenDeskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=100)
        self.serving = unittest.mock.Mock(
            is_serving=True,
            counting_since=float('-inf'),
        )
        current = unittest.mock.Mock(
            spec=view.FleetView,
            tree=tree.SettingsTree(fleet=FLEET),
        )
        self.desk = tokens.TokenDesk(
            host=identifiers.HostName('h'),
            serving={DATABASE: self.serving},
            current_view=lambda: current,
            pool_links=unittest.mock.Mock(),
            time_source=self.clock,
        )

    def _take(self) -> int:
        lot = self.desk.take(WORKSPACE, 9)
        return lot.granted if lot else -1

    def test_first_owner_of_all_gives_the_burst(self) -> None:
        self.assertEqual([self._take(), self._take()], [5, 0])

    def test_claimed_again_from_another_host_starts_empty(self) -> None:
        self.desk.gatekeeper(DATABASE, WORKSPACE)
        self.serving.counting_since = 100
        self.assertEqual(self._take(), 0)
        self.clock.advance(0.25)
        self.assertEqual(self._take(), 2)

    def test_who_does_not_serve_gives_none(self) -> None:
        self.serving.is_serving = False
        self.assertEqual(self._take(), -1)
