"""Leases after the store was restored from a copy without the latest claims."""

from egretstep.membership import claims, directory, leases
from egretstep.storage import tables
from tests import platform_fakes
from tests.membership import lease_case

StoredRows = dict[tuple[str, str], tables.Row]


class LeasesAfterRestoreTest(lease_case.LeaseTestCase):
    async def test_a_lost_claim_is_written_again_and_renewed(self) -> None:
        """Its holder lost the service, and no other host claimed it."""
        _, new_claim = await self._take_over_in_lost_seconds()
        await self.renewals['y'].renew()
        self.assertEqual(self._stored_epoch(), new_claim.epoch)
        await self._renew_for_long('y')
        self.assertTrue(self.is_held('y', new_claim))

    async def test_the_store_does_not_renew_a_former_holder(self) -> None:
        """The former holder wakes up and finds its claim in the store."""
        former, new_claim = await self._take_over_in_lost_seconds()
        await self.renewals['x'].renew()
        self.assertFalse(self.is_held('x', former))
        self.assertTrue(self.is_held('y', new_claim))
        self.assertFalse(self.keepers['x'].is_renewing(lease_case.TASK))
        self.assertIsNone(
            await self.keepers['x'].claim(lease_case.TASK, former)
        )
        self.assertEqual(
            self.keepers['x'].known[lease_case.TASK].epoch, new_claim.epoch
        )

    async def test_an_expired_lease_is_not_renewed_in_a_new_era(self) -> None:
        """All that knew the later claim of y have forgotten it, but for y.

        x would be verified, and then y too, since its epoch is later.
        """
        former, new_claim = await self._take_over_in_lost_seconds()
        self._forget('z')
        self.clock.advance(leases.LEASE_SECONDS)
        self.confirmers['x'].keepers = [self.keepers['z']]
        await self.renewals['x'].renew()
        await self.renewals['y'].renew()
        self.assertFalse(self.is_held('x', former))
        self.assertFalse(self.is_held('y', new_claim))
        self.assertGreater((await self.claim('y')).epoch, new_claim.epoch)

    async def test_a_verified_claim_that_is_overwritten_is_written_again(
        self,
    ) -> None:
        """A late write of the former era met a number given out again."""
        claim = await self.claim('x')
        former_rows = dict(self.store.rows)
        new_claim = await self.claim('x')
        await self.renewals['x'].renew()
        self.store.rows = former_rows
        await self._renew_for_long('x')
        self.assertGreater(new_claim.epoch, claim.epoch)
        self.assertTrue(self.is_held('x', new_claim))
        self.assertEqual(self._stored_epoch(), new_claim.epoch)

    async def test_a_claim_is_not_verified_without_a_majority(self) -> None:
        former = await self.claim('x')
        self.store.restore(dict(self.store.rows))
        self.confirmers['x'].keepers = []
        self.clock.advance(leases.LEASE_SECONDS / 2)
        await self.renewals['x'].renew()
        self.clock.advance(leases.LEASE_SECONDS / 2)
        self.assertFalse(self.is_held('x', former))

    async def test_a_kept_claim_is_verified_without_a_write(self) -> None:
        claim = await self.claim('x')
        self.store.restore(dict(self.store.rows))
        before = dict(self.store.rows)
        await self.renewals['x'].renew()
        self.assertEqual(self.store.rows, before)
        await self._renew_for_long('x')
        self.assertTrue(self.is_held('x', claim))

    async def test_epochs_grow_although_the_latest_one_is_lost(self) -> None:
        """All hosts that knew the lost claim have restarted."""
        _, lost = await self._take_over_in_lost_seconds()
        self._forget_all()
        self.keepers['z'].merge(self._stored_claim())
        new_claim = await self.claim('z')
        self.assertGreater(new_claim.epoch, lost.epoch)

    async def test_a_claim_on_a_restored_row_waits_for_lost_leases(
        self,
    ) -> None:
        """The row says that its holder released the task before."""
        await self.claim('x')
        await self.keepers['x'].hand_over(
            lease_case.TASK, platform_fakes.host('z')
        )
        rows = dict(self.store.rows)
        await self.claim('z')
        self.store.restore(rows)
        self._forget_all()
        self.keepers['y'].merge(self._stored_claim())
        started_at = self.clock.now()
        await self.claim('y')
        waited = self.clock.now() - started_at
        self.assertGreaterEqual(waited, leases.LEASE_SECONDS)

    async def test_a_first_claim_that_was_lost_is_not_the_first(self) -> None:
        rows: StoredRows = dict(self.store.rows)
        await self.claim('x')
        self.store.restore(rows)
        self._forget_all()
        new_claim = await self.keepers['y'].claim(lease_case.TASK)
        self.assertFalse(new_claim and new_claim.is_settled)

    async def test_a_lost_claim_that_another_host_knows_is_respected(
        self,
    ) -> None:
        """A host that restarts does not take the task from its holder."""
        _, new_claim = await self._take_over_in_lost_seconds()
        self._forget('z')
        stored = self._stored_claim()
        self.keepers['z'].merge(stored)
        self.assertIsNone(
            await self.keepers['z'].claim(lease_case.TASK, stored)
        )
        self.assertTrue(self.is_held('y', new_claim))

    async def test_a_former_holder_does_not_release_a_lost_task(self) -> None:
        _, new_claim = await self._take_over_in_lost_seconds()
        released = await self.keepers['x'].hand_over(
            lease_case.TASK, platform_fakes.host('z')
        )
        self.assertFalse(released)
        self.assertTrue(self.is_held('y', new_claim))

    async def test_an_expired_lease_is_not_released_in_a_new_era(self) -> None:
        """All that knew the later claim of y have forgotten it, but for y.

        The successor would start at once, beside y.
        """
        _, new_claim = await self._take_over_in_lost_seconds()
        self._forget('z')
        self.confirmers['x'].keepers = [self.keepers['z']]
        released = await self.keepers['x'].hand_over(
            lease_case.TASK, platform_fakes.host('z')
        )
        self.assertFalse(released)
        self.assertTrue(self.is_held('y', new_claim))

    async def test_a_planned_hand_over_follows_a_lost_claim(self) -> None:
        await self._take_over_in_lost_seconds()
        released = await self.keepers['y'].hand_over(
            lease_case.TASK, platform_fakes.host('z')
        )
        self.assertTrue(released)
        started_at = self.clock.now()
        await self.claim('z')
        self.assertEqual(self.clock.now(), started_at)

    async def test_the_latest_detail_reaches_the_successor(self) -> None:
        """It names the server that was promoted; x does not know it."""
        _, new_claim = await self._take_over_in_lost_seconds()
        await self.keepers['y'].record(new_claim, 'server-2')
        await self.renewals['y'].renew()
        self.assertEqual(self._stored_claim().detail, 'server-2')

    async def test_a_restarted_host_does_not_confirm_a_former_holder(
        self,
    ) -> None:
        """It confirmed the new holder before, and has forgotten that.

        Both holders would have a lease until the new one is verified.
        """
        former, new_claim = await self._take_over_in_lost_seconds()
        self._forget('z')
        self.keepers['z'].merge(self._stored_claim())
        self.keepers['z'].mark_synced(lease_case.FIRST_ERA + 1)
        self.confirmers['x'].keepers = [self.keepers['z']]
        await self.renewals['x'].renew()
        self.assertFalse(self.is_held('x', former))
        self.assertTrue(self.is_held('y', new_claim))

    async def test_a_restarted_host_confirms_once_lost_leases_are_over(
        self,
    ) -> None:
        claim = await self.claim('x')
        self.store.restore(dict(self.store.rows))
        keeper = self.keepers['z']
        keeper.mark_synced(lease_case.FIRST_ERA + 1)
        self.assertFalse(keeper.can_confirm([claim]))
        self.clock.advance(leases.LEASE_SECONDS)
        self.assertTrue(keeper.can_confirm([claim]))

    async def _take_over_in_lost_seconds(
        self,
    ) -> tuple[claims.Claim, claims.Claim]:
        """Let y replace x; x does not hear of it, and the store loses it."""
        former = await self.claim('x')
        rows = dict(self.store.rows)
        for name in 'yz':
            self.keepers[name].merge(former)
        self.confirmers['y'].keepers = [self.keepers['z']]
        new_claim = await self.claim('y')
        self.store.restore(rows)
        return former, new_claim

    async def _renew_for_long(self, name: str) -> None:
        for _ in range(4):
            self.clock.advance(leases.LEASE_SECONDS / 2)
            await self.renewals[name].renew()

    def _forget_all(self) -> None:
        for name in 'xyz':
            self._forget(name)

    def _forget(self, name: str) -> None:
        """Restart a host: it forgets the claims that it knew."""
        self.keepers[name]._claims.clear()
        self.keepers[name]._expires_at.clear()

    def _stored_claim(self) -> claims.Claim:
        key = f'{claims.PREFIX}{lease_case.TASK}'
        row = self.store.rows[directory.TABLE, key]
        stored = claims.decode(row.content)
        if stored is None:
            raise AssertionError('the store has no claim')
        return stored

    def _stored_epoch(self) -> int:
        return self._stored_claim().epoch
