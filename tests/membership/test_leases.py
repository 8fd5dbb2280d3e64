"""Checks that `leases` follows the rule of `specifications/leases.py`."""

import asyncio
import dataclasses
import typing
from unittest import mock

from egretstep.membership import claim_rows, leases
from tests import platform_fakes
from tests.membership import lease_case


class LeaseTest(lease_case.LeaseTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.is_z_waiting = False

    async def test_a_lease_expires_without_renewal(self) -> None:
        claim = await self.claim('x')
        self.assertTrue(self.keepers['x'].is_held(lease_case.TASK, claim.epoch))
        self.clock.advance(leases.LEASE_SECONDS)
        self.assertFalse(
            self.keepers['x'].is_held(lease_case.TASK, claim.epoch)
        )

    async def test_a_new_claim_ends_the_suspicion_of_its_host(self) -> None:
        """Guards against calls to a new holder that are refused needlessly.

        After an outage of all hosts, the new owner was avoided for a second
        longer, because of a suspicion from before its claim.
        """
        former = await self.claim('x')
        hosts = self.directories['y']
        self.keepers['y'].merge(former)
        hosts.suspect(former.host, 'refused')
        new_claim = await self.claim('x')
        self.keepers['y'].merge(new_claim)
        self.assertGreater(new_claim.epoch, former.epoch)
        self.assertFalse(hosts.is_suspected(former.host))

    async def test_the_store_renews(self) -> None:
        claim = await self.claim('x')
        self.clock.advance(1)
        await self.renewals['x'].renew()
        self.clock.advance(leases.LEASE_SECONDS - 0.5)
        self.assertTrue(self.keepers['x'].is_held(lease_case.TASK, claim.epoch))

    async def test_a_majority_renews_while_the_store_is_down(self) -> None:
        claim = await self.claim('x')
        self.store.is_down = True
        self.clock.advance(1)
        await self.renewals['x'].renew()
        self.clock.advance(leases.LEASE_SECONDS - 0.5)
        self.assertTrue(self.keepers['x'].is_held(lease_case.TASK, claim.epoch))

    async def test_a_host_that_has_not_read_the_store_does_not_count(
        self,
    ) -> None:
        claim = await self.claim('x')
        self.store.is_down = True
        for name in 'yz':
            self.keepers[name]._synced_era = None
        self.clock.advance(1)
        await self.renewals['x'].renew()
        self.clock.advance(leases.LEASE_SECONDS - 0.5)
        self.assertFalse(
            self.keepers['x'].is_held(lease_case.TASK, claim.epoch)
        )

    async def test_a_new_holder_waits_until_the_former_lease_expires(
        self,
    ) -> None:
        former = await self.claim('x')
        self.keepers['y'].merge(former)
        started = self.clock.now()
        new_claim = await self.claim('y')
        self.assertGreaterEqual(
            self.clock.now() - started,
            leases.LEASE_SECONDS,
        )
        self.assertFalse(
            self.keepers['x'].is_held(lease_case.TASK, former.epoch)
        )
        self.assertTrue(
            self.keepers['y'].is_held(lease_case.TASK, new_claim.epoch)
        )

    async def test_a_holder_that_is_replaced_in_its_wait_gets_no_lease(
        self,
    ) -> None:
        """It did not hear of the next one, and both served for a moment."""
        former = await self.claim('x')
        for name in 'yz':
            self.keepers[name].merge(former)
        self.confirmers['z'].keepers = [self.keepers['x']]
        with self._during_wait(self._claim_next):
            self.assertIsNone(
                await self.keepers['y'].claim(lease_case.TASK, former)
            )
        self.assertFalse(self.keepers['y'].is_renewing(lease_case.TASK))
        self.assertTrue(self.keepers['z'].is_renewing(lease_case.TASK))

    def _during_wait(
        self, act: typing.Callable[[float], typing.Awaitable[None]]
    ) -> typing.ContextManager[object]:
        return mock.patch.object(leases.asyncio, 'sleep', side_effect=act)

    async def _claim_next(self, seconds: float) -> None:
        """Let z take over from y, which hears of it from nobody."""
        self.clock.advance(seconds)
        keeper = self.keepers['z']
        if not self.is_z_waiting:
            self.is_z_waiting = True
            await keeper.claim(
                lease_case.TASK, keeper.known.get(lease_case.TASK)
            )

    async def test_a_new_holder_without_a_majority_gets_no_lease(self) -> None:
        former = await self.claim('x')
        self.keepers['y'].merge(former)
        self.confirmers['y'].keepers = []
        self.assertIsNone(
            await self.keepers['y'].claim(lease_case.TASK, former)
        )
        self.assertFalse(self.keepers['y'].is_renewing(lease_case.TASK))

    async def test_a_claim_whose_answer_was_lost_still_needs_the_wait(
        self,
    ) -> None:
        former = await self.claim('x')
        self.keepers['y'].merge(former)
        self.store.loses_answers = True
        self.assertIsNone(
            await self.keepers['y'].claim(lease_case.TASK, former)
        )
        self.store.loses_answers = False
        started = self.clock.now()
        await self.claim('y')
        self.assertGreaterEqual(
            self.clock.now() - started,
            leases.LEASE_SECONDS,
        )

    async def test_only_one_of_two_hosts_takes_over_from_a_lost_holder(
        self,
    ) -> None:
        """Both hosts found x lost; z, the slower one, must not replace y."""
        former = await self.claim('x')
        for name in 'yz':
            self.keepers[name].merge(former)
        new_claim = await self.claim('y')
        self.assertIsNone(
            await self.keepers['z'].claim(lease_case.TASK, former)
        )
        self.assertTrue(
            self.keepers['y'].is_held(lease_case.TASK, new_claim.epoch)
        )

    async def test_a_released_task_is_taken_without_a_wait(self) -> None:
        former = await self.claim('x')
        released = await self.keepers['x'].hand_over(
            lease_case.TASK,
            platform_fakes.host('y'),
        )
        self.assertTrue(released)
        self.assertFalse(
            self.keepers['x'].is_held(lease_case.TASK, former.epoch)
        )
        started = self.clock.now()
        new_claim = await self.claim('y')
        self.assertEqual(self.clock.now(), started)
        self.assertTrue(
            self.keepers['y'].is_held(lease_case.TASK, new_claim.epoch)
        )

    async def test_a_detail_that_only_a_majority_has_reaches_the_next_one(
        self,
    ) -> None:
        """The store did not answer when it was recorded."""
        claim = await self.claim('x')
        self.confirmers['x'].keepers = [self.keepers['z']]
        self.store.is_down = True
        is_known = await self.keepers['x'].record(claim, 'server-2')
        self.assertTrue(is_known)
        await asyncio.gather(*lease_case.pending_tasks())
        self.assertEqual(self.keepers['y'].known[lease_case.TASK].detail, '')
        self.store.is_down = False
        new_claim = await self.claim('y')
        self.assertEqual(new_claim.detail, 'server-2')

    async def test_a_detail_that_no_majority_has_is_not_recorded(self) -> None:
        """Its holder must not act as if the next one knew it."""
        claim = await self.claim('x')
        self.confirmers['x'].keepers = []
        self.store.is_down = True
        self.assertFalse(await self.keepers['x'].record(claim, 'server-2'))

    async def test_a_late_write_does_not_undo_a_later_detail(self) -> None:
        claim = await self.claim('x')
        rows = claim_rows.ClaimRows(store=self.store)
        later = dataclasses.replace(claim, detail='later', revision=9)
        self.assertTrue(await rows.replace(later))
        earlier = dataclasses.replace(claim, detail='earlier', revision=8)
        self.assertFalse(await rows.replace(earlier))
        stored = await rows.read(lease_case.TASK)
        self.assertEqual(stored.claim, later)

    async def test_what_a_holder_records_reaches_its_successor(self) -> None:
        claim = await self.claim('x')
        await self.keepers['x'].record(claim, 'server-2')
        await asyncio.gather(*lease_case.pending_tasks())
        self.assertEqual(
            self.keepers['y'].known[lease_case.TASK].detail, 'server-2'
        )
        new_claim = await self.claim('y')
        self.assertEqual(new_claim.detail, 'server-2')
