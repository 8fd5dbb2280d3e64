import unittest

from egretstep import clock, identifiers
from egretstep.replication import floors, lease, staleness

FIRST = identifiers.LogPosition(term=1, offset=5)
SECOND = identifiers.LogPosition(term=2, offset=1)
SESSION = identifiers.SessionId('till')


class SessionFloorsTest(unittest.TestCase):
    def test_own_write_is_the_floor(self) -> None:
        session_floors = floors.SessionFloors()
        session_floors.acknowledge(session_id=SESSION, position=FIRST)
        session_floors.acknowledge(
            session_id=identifiers.SessionId('other'),
            position=SECOND,
        )
        floor = session_floors.floor(
            session_id=SESSION,
            carried=identifiers.LOG_START,
        )
        self.assertEqual(floor, FIRST)

    def test_evicted_session_gets_the_latest_position(self) -> None:
        session_floors = floors.SessionFloors(capacity=1)
        session_floors.acknowledge(session_id=SESSION, position=FIRST)
        session_floors.acknowledge(
            session_id=identifiers.SessionId('other'),
            position=SECOND,
        )
        floor = session_floors.floor(
            session_id=SESSION,
            carried=identifiers.LOG_START,
        )
        self.assertEqual((floor, len(session_floors)), (SECOND, 1))

    def test_connection_carries_its_own_floor(self) -> None:
        session_floors = floors.SessionFloors()
        floor = session_floors.floor(
            session_id=identifiers.SessionId(''),
            carried=FIRST,
        )
        self.assertEqual((floor, len(session_floors)), (FIRST, 0))


class StalenessTest(unittest.TestCase):
    def test_age_counts_from_before_the_request(self) -> None:
        manual_clock = clock.ManualClock(start=100)
        staleness_tracker = staleness.StalenessTracker(time_source=manual_clock)
        staleness_tracker.add_sample(position=FIRST, sent_at=99)
        staleness_tracker.add_sample(position=SECOND, sent_at=100)
        manual_clock.advance(0.5)
        self.assertEqual(staleness_tracker.age_bound(SECOND), 0.5)
        self.assertEqual(staleness_tracker.age_bound(FIRST), 1.5)
        self.assertEqual(
            staleness_tracker.age_bound(identifiers.LOG_START),
            float('inf'),
        )


class LeaseTest(unittest.TestCase):
    def test_lease_expires_and_can_be_released(self) -> None:
        manual_clock = clock.ManualClock()
        names = [identifiers.ServerName(name) for name in 'abc']
        majority_lease = lease.MajorityLease(
            servers=names, time_source=manual_clock
        )
        for name in names[:2]:
            majority_lease.confirm(server=name, sent_at=0)
        self.assertTrue(majority_lease.is_held())
        manual_clock.advance(lease.LEASE_SECONDS)
        self.assertFalse(majority_lease.is_held())
        for name in names[:2]:
            majority_lease.confirm(server=name, sent_at=manual_clock.now())
        self.assertTrue(majority_lease.is_held())
        majority_lease.release()
        self.assertFalse(majority_lease.is_held())
