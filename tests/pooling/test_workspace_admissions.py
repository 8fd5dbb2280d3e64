import unittest
import unittest.mock

from egretstep import clock, identifiers
from egretstep.membership import view
from egretstep.pooling import workspace_admissions
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


class WorkspaceAdmissionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=100)
        self.serving = unittest.mock.Mock(
            is_serving=True,
            buckets_empty_at=float('-inf'),
        )
        current = unittest.mock.Mock(
            spec=view.FleetView,
            tree=tree.SettingsTree(fleet=FLEET),
        )
        self.admissions = workspace_admissions.WorkspaceAdmissions(
            host=identifiers.HostName('h'),
            serving={DATABASE: self.serving},
            current_view=lambda: current,
            pool_links=unittest.mock.Mock(),
            time_source=self.clock,
        )

    def _take(self) -> int:
        lot = self.admissions.take(WORKSPACE, 9)
        return lot.granted if lot else -1

    def test_first_owner_starts_with_a_full_burst(self) -> None:
        self.assertEqual([self._take(), self._take()], [5, 0])

    def test_regained_database_starts_without_tokens(self) -> None:
        self.admissions.admission_of(DATABASE, WORKSPACE)
        self.serving.buckets_empty_at = 100
        self.assertEqual(self._take(), 0)
        self.clock.advance(0.25)
        self.assertEqual(self._take(), 2)

    def test_host_that_does_not_serve_grants_no_tokens(self) -> None:
        self.serving.is_serving = False
        self.assertEqual(self._take(), -1)
