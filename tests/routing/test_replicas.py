import math
import unittest

from egretstep import identifiers
from egretstep.routing import replicas

HERE = identifiers.ZoneName('here')
POSITION = identifiers.LogPosition(term=1, offset=8)


def candidate(name: str, **changes: object) -> replicas.Candidate:
    fields: dict = {
        'server': identifiers.ServerName(name),
        'is_primary': False,
        'applied': POSITION,
        'age_bound': 0.1,
        'load': 0,
        'zone': HERE,
    }
    return replicas.Candidate(**(fields | changes))


class SessionRouterTest(unittest.TestCase):
    def _choose(
        self,
        *candidates: replicas.Candidate,
        **needs: object,
    ) -> replicas.Choice | None:
        fields: dict = {'floor': POSITION, 'zone': HERE}
        return replicas.SessionRouter().choose(
            needs=replicas.ReadNeeds(**(fields | needs)),
            candidates=candidates,
        )

    def test_chooses_the_least_loaded_replica_in_the_own_zone(self) -> None:
        chosen = self._choose(
            candidate('p', is_primary=True),
            candidate('busy', load=2),
            candidate('far', zone=identifiers.ZoneName('far')),
            candidate('near'),
        )
        self.assertEqual(chosen.server, 'near')

    def test_waits_for_a_lagging_replica(self) -> None:
        behind = identifiers.LogPosition(term=1, offset=7)
        chosen = self._choose(candidate('r', applied=behind))
        self.assertEqual(chosen.wait_for, POSITION)

    def test_bounded_age_needs_a_known_age_bound(self) -> None:
        old = candidate('old', age_bound=math.inf)
        start = identifiers.LOG_START
        self.assertIsNone(self._choose(old, floor=start, max_staleness=0.6))
        young = candidate('young', age_bound=0.5)
        chosen = self._choose(old, young, floor=start, max_staleness=0.6)
        self.assertEqual(chosen.server, 'young')
