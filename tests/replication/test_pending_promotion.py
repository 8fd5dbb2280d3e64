"""Promotions that were ordered and whose outcome is not known yet."""

import asyncio
import dataclasses
import time

from egretstep.backends import answers, connection
from egretstep.replication import failover, primary, primary_record
from tests.replication import owner_case

LATE_SECONDS = failover.MAX_PROMOTION_SECONDS + 1


class PendingPromotionTest(owner_case.OwnerCase):
    async def test_a_promotion_without_an_answer_is_waited_for(self) -> None:
        """Guards against going back to the former primary."""
        self.promotions.loses_answers = True
        await self.drain_primary()
        self.assertTrue((await self._write()).is_ok)
        self.assertEqual(len(self.first.received), 1)
        self.assertEqual(len(self.second.received), 1)

    async def test_a_promotion_that_is_late_is_waited_for(self) -> None:
        self.promotions.delay = LATE_SECONDS
        self.first.reports_status = False
        self.first.breaks_connection_on = owner_case.WRITE.command.text
        await self._write(timeout=0.1)
        while not self.promotions.request_count:
            await asyncio.sleep(0.01)
        received_count = len(self.first.received)
        self.first.reports_status = True
        self.first.breaks_connection_on = b''
        await self._write_until_done()
        self.assertEqual(len(self.first.received), received_count)
        self.assertEqual(len(self.second.received), 1)

    async def test_the_former_primary_is_ordered_if_the_next_one_is_lost(
        self,
    ) -> None:
        """Guards against waiting for a lead that no order can change."""
        self.promotions.delay = LATE_SECONDS * 100
        self.promotions.loses_answers = True
        self.first.reports_status = False
        self.first.breaks_connection_on = owner_case.WRITE.command.text
        await self._write(timeout=0.1)
        while not self.promotions.request_count:
            await asyncio.sleep(0.01)
        self.promotions.loses_answers = False
        self.second.is_down = True
        self.first.reports_status = True
        self.first.breaks_connection_on = b''
        started = time.monotonic()
        await self._write_until_done(LATE_SECONDS * 2)
        waited = time.monotonic() - started
        self.assertGreater(waited, failover.MAX_PROMOTION_SECONDS - 0.1)

    async def test_the_next_owner_waits_for_it_too(self) -> None:
        """Guards against a successor that serves the former primary."""
        self.promotions.delay = LATE_SECONDS
        await self.drain_primary()
        await asyncio.sleep(0.1)
        self.assertTrue(self._record().is_pending)
        self.servers.draining = ''
        await self._take_over()
        self.running.append(asyncio.ensure_future(self.owner.run()))
        await self._write_until_done()
        self.assertEqual(len(self.first.received), 1)

    async def test_a_refused_promotion_leaves_the_primary_in_place(
        self,
    ) -> None:
        """The platform did nothing, so that writes need not wait."""
        self.promotions.is_refused = True
        await self.drain_primary()
        self.assertTrue((await self._write(timeout=0.5)).is_ok)
        self.assertEqual(len(self.first.received), 2)
        self.assertFalse(self._record().is_pending)

    async def test_a_stop_waits_for_its_outcome(self) -> None:
        await self.drain_primary()
        await self.owner.stop(longest_wait=2)
        await asyncio.sleep(0.1)
        self.assertEqual(self._record().server, 'second')
        self.assertFalse(self._record().is_pending)

    def _record(self) -> primary_record.PrimaryRecord:
        return primary_record.decode(self.keeper.known[owner_case.TASK].detail)

    async def _take_over(self) -> None:
        """Replace the owner by one with a later claim."""
        self.running.pop(0).cancel()
        former = self.keeper.known[owner_case.TASK]
        self.keeper.drop_lease(owner_case.TASK)
        claim = await self.keeper.claim(owner_case.TASK, former)
        if claim is None:
            raise AssertionError('the task could not be claimed')
        self.owner = self.make_owner(claim)

    async def _write_until_done(self, limit: float = 60) -> None:
        async with asyncio.timeout(limit):
            while not (await self._write(timeout=0.5)).is_ok:
                await asyncio.sleep(0.1)

    async def _write(self, timeout: float = 1.5) -> answers.Answer:
        work = dataclasses.replace(owner_case.WRITE, timeout=timeout)
        return await self.owner.execute(work, owner_case.LINK)


class SupersededPrimaryTest(owner_case.OwnerCase):
    async def test_a_primary_that_refuses_writes_is_left(self) -> None:
        """A promotion took effect that this owner knows nothing of."""
        self.first.refuses_statements_with = answers.Code.NOT_PRIMARY
        self._lead_second()
        await self.owner.execute(owner_case.WRITE, owner_case.LINK)
        await asyncio.sleep(primary.CHECK_INTERVAL_SECONDS * 3)
        self.assertEqual(self.owner.primary.server, self._second_id())

    async def test_a_primary_beside_a_later_one_is_left(self) -> None:
        """It still answers, also writes, for a while."""
        self._lead_second()
        await asyncio.sleep(primary.CHECK_INTERVAL_SECONDS * 3)
        self.assertEqual(self.owner.primary.server, self._second_id())
        self.assertEqual(self.promotions.request_count, 0)

    async def test_a_former_primary_of_an_old_term_changes_nothing(
        self,
    ) -> None:
        self.second.role = connection.Role.PRIMARY
        await asyncio.sleep(primary.CHECK_INTERVAL_SECONDS * 3)
        self.assertEqual(self.owner.primary.server, 'first')

    def _lead_second(self) -> None:
        self.second.role = connection.Role.PRIMARY
        self.second.term = self.first.term + 1

    def _second_id(self) -> connection.ServerId:
        return self.second.backend().server
