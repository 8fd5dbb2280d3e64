"""The terms in which one host serves, one after the other."""

import unittest
from unittest import mock

from egretstep import clock, identifiers
from egretstep.replication import group, lease

SERVER = identifiers.ServerName('first')


class DatabaseGroupTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=10)
        self.group = group.DatabaseGroup(
            database=identifiers.DatabaseName('d'),
            settings=mock.Mock(servers={}),
            owner='host-1',
            user='u',
            password='p',
            time_source=self.clock,
        )

    def test_the_lease_of_a_former_term_ends_with_the_next_one(self) -> None:
        """Guards against answers of a former primary beside the next one."""
        former = self._tenure(1)
        self.group.start_serving(former)
        self.assertTrue(former.lease.is_held())
        following = self._tenure(2)
        self.group.start_serving(following)
        self.assertFalse(former.lease.is_held())
        self.assertTrue(following.lease.is_held())

    def _tenure(self, term: int) -> group.Tenure:
        held = lease.MajorityLease(servers=[SERVER], time_source=self.clock)
        held.confirm(server=SERVER, sent_at=self.clock.now())
        return group.Tenure(
            term=identifiers.Term(term), primary=SERVER, lease=held
        )
