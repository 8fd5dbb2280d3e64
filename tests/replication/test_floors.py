import unittest

from egretstep import clock, identifiers
from egretstep.replication import floors, lease, staleness

FIRST = identifiers.LogPosition(term=1, offset=5)
SECOND = identifiers.LogPosition(term=2, offset=1)
SESSION = identifiers.SessionId('till')


class SessionFloorsTest(unittest.TestCase):
    def test_own_write_is_the_floor(self) -> None:
        known = floors.SessionFloors()
        known.acknowledge(session_id=SESSION, position=FIRST)
        known.acknowledge(
            session_id=identifiers.SessionId('other'),
            position=SECOND,
        )
        floor = known.floor(
            session_id=SESSION,
            carried=identifiers.LOG_START,
        )
        self.assertEqual(floor, FIRST)

    def test_evicted_session_gets_the_latest_position(self) -> None:
        known = floors.SessionFloors(capacity=1)
        known.acknowledge(session_id=SESSION, position=FIRST)
        known.acknowledge(
            session_id=identifiers.SessionId('other'),
            position=SECOND,
        )
        floor = known.floor(
            session_id=SESSION,
            carried=identifiers.LOG_START,
        )
        self.assertEqual((floor, len(known)), (SECOND, 1))

    def test_connection_carries_its_own_floor(self) -> None:
        known = floors.SessionFloors()
        floor = known.floor(
            session_id=identifiers.SessionId(''),
            carried=FIRST,
        )
        self.assertEqual((floor, len(known)), (FIRST, 0))


class StalenessTest(unittest.TestCase):
    def test_age_counts_from_before_the_question(self) -> None:
        source = clock.ManualClock(start=100)
        evidence = staleness.StalenessEvidence(time_source=source)
        evidence.sample(position=FIRST, asked_at=99)
        evidence.sample(position=SECOND, asked_at=100)
        source.advance(0.5)
        self.assertEqual(evidence.age_bound(SECOND), 0.5)
        self.assertEqual(evidence.age_bound(FIRST), 1.5)
        self.assertEqual(
            evidence.age_bound(identifiers.LOG_START),
            float('inf'),
        )


class LeaseTest(unittest.TestCase):
    def test_lease_runs_out_and_is_released(self) -> None:
        source = clock.ManualClock()
        names = [identifiers.ServerName(name) for name in 'abc']
        held = lease.MajorityLease(servers=names, time_source=source)
        for name in names[:2]:
            held.confirm(server=name, asked_at=0)
        self.assertTrue(held.is_held())
        source.advance(lease.LEASE_SECONDS)
        self.assertFalse(held.is_held())
        for name in names[:2]:
            held.confirm(server=name, asked_at=source.now())
        self.assertTrue(held.is_held())
        held.release()
        self.assertFalse(held.is_held())
