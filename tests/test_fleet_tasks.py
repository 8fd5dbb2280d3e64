"""The token buckets with which a host starts as the counting host.

Buckets that start too full grant tokens a second time.
"""

import unittest
from unittest import mock

from egretstep import clock
from egretstep.limits import bucket
from egretstep.membership import claims, directory, fencing
from egretstep.programs import tasks
from tests import platform_fakes

ERA = 1
FIRST_EPOCH = fencing.next_number(0, ERA)
STARTED_AT = 50.0
CLAIMED_AT = 60.0


class CountingStartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=STARTED_AT)
        self.keeper = mock.MagicMock(known={})
        self.tasks = tasks.FleetTasks(
            keeper=self.keeper,
            renewal=mock.MagicMock(),
            hosts=directory.Directory(
                own=platform_fakes.host('own', boot=2),
                time_source=self.clock,
            ),
            servers=mock.MagicMock(),
            broker_table=mock.MagicMock(),
            make_failover=mock.MagicMock(),
            current_deployment=mock.MagicMock(),
            time_source=self.clock,
        )
        self.clock.advance(CLAIMED_AT - STARTED_AT)

    def test_buckets_of_a_new_fleet_are_full(self) -> None:
        claim = self._claim(FIRST_EPOCH, is_settled=True)
        self.assertEqual(self._empty_at(claim), bucket.LONG_AGO)

    def test_buckets_are_empty_if_the_first_claim_was_lost(self) -> None:
        claim = self._claim(fencing.next_number(0, ERA + 1))
        self.assertEqual(self._empty_at(claim), CLAIMED_AT)

    def test_buckets_are_empty_at_the_start_after_an_own_claim(self) -> None:
        self._record_previous(FIRST_EPOCH)
        claim = self._claim(FIRST_EPOCH + 1)
        self.assertEqual(self._empty_at(claim), STARTED_AT)

    def test_buckets_are_empty_if_another_host_counted_meanwhile(self) -> None:
        """It granted tokens after the start of this process."""
        self._record_previous(FIRST_EPOCH)
        claim = self._claim(FIRST_EPOCH + 3)
        self.assertEqual(self._empty_at(claim), CLAIMED_AT)

    def test_buckets_are_empty_if_the_own_claim_is_of_a_former_era(
        self,
    ) -> None:
        self._record_previous(FIRST_EPOCH)
        claim = self._claim(fencing.next_number(FIRST_EPOCH, ERA + 1))
        self.assertEqual(self._empty_at(claim), CLAIMED_AT)

    def test_hosts_without_grants_are_not_in_contact(self) -> None:
        """Their shares are at a standby while the lease is not renewed."""
        caller = platform_fakes.host('other').host
        with mock.patch.object(tasks.grants, 'FleetRateLimiter') as limiter:
            self.tasks.start(self._claim(FIRST_EPOCH))
        for is_held in (False, True):
            self.keeper.is_held.return_value = is_held
            self.tasks.record_contact(caller)
            contacts = limiter.return_value.record_contact.call_count
            self.assertEqual(contacts, int(is_held))

    def _record_previous(self, epoch: int) -> None:
        previous = self._claim(epoch, boot=1, is_settled=True)
        self.keeper.known = {previous.task: previous}
        self.tasks.record_previous_claims()

    def _empty_at(self, claim: claims.Claim) -> float:
        with mock.patch.object(tasks.grants, 'FleetRateLimiter') as limiter:
            self.tasks.start(claim)
        return limiter.call_args.kwargs['empty_at']

    def _claim(
        self, epoch: int, *, boot: int = 2, is_settled: bool = False
    ) -> claims.Claim:
        return claims.Claim(
            task=tasks.COUNTING_TASK,
            host=platform_fakes.host('own').host,
            boot=boot,
            epoch=epoch,
            is_settled=is_settled,
        )
