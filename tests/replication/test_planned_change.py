"""Load pattern: a planned replacement of a primary under constant load."""

import asyncio
import dataclasses
import time

from egretstep import identifiers
from egretstep.backends import answers
from egretstep.membership import leases
from egretstep.pooling import work as work_module
from tests.replication import owner_case


class PlannedChangeTest(owner_case.OwnerCase):
    async def test_reads_continue_at_the_draining_primary(self) -> None:
        await self.drain_primary()
        started = time.monotonic()
        answer = await self.owner.execute(owner_case.READ, owner_case.LINK)
        self.assertTrue(answer.is_ok)
        self.assertLess(time.monotonic() - started, owner_case.QUICK_SECONDS)
        self.assertIn(
            owner_case.READ.command.text,
            [entry[1] for entry in self.first.received],
        )

    async def test_writes_wait_for_the_next_primary(self) -> None:
        await self.drain_primary()
        answer = await self.owner.execute(owner_case.WRITE, owner_case.LINK)
        self.assertTrue(answer.is_ok)
        self.assertEqual(len(self.first.received), 1)
        self.assertEqual(len(self.second.received), 1)
        await self.owner.execute(owner_case.READ, owner_case.LINK)
        self.assertEqual(len(self.second.received), 2)

    async def test_reads_that_open_a_transaction_wait(self) -> None:
        await self.drain_primary()
        opening = dataclasses.replace(
            owner_case.READ,
            opens=work_module.Opens.TRANSACTION,
        )
        await self.owner.execute(opening, owner_case.LINK)
        self.assertEqual(len(self.first.received), 1)

    async def test_an_owner_that_finds_a_leaving_primary_replaces_it(
        self,
    ) -> None:
        """Guards against ordering the primary again that is to be left.

        The other server is behind, as replicas are under load.
        """
        self.first.position = identifiers.LogPosition(1, 9)
        claim = self.keeper.known[owner_case.TASK]
        self.running.pop(0).cancel()
        self.servers.draining = 'first'
        await asyncio.sleep(owner_case.DRAIN_SECONDS * 2)
        self.owner = self.make_owner(claim)
        self.running.append(asyncio.ensure_future(self.owner.run()))
        await asyncio.sleep(owner_case.PROMOTION_DELAY_SECONDS * 10)
        self.assertTrue(
            (await self.owner.execute(owner_case.WRITE, owner_case.LINK)).is_ok
        )
        self.assertEqual(len(self.first.received), 1)
        self.assertEqual(len(self.second.received), 1)

    async def test_an_unresponsive_store_delays_no_replacement(self) -> None:
        self.store.is_unresponsive = True
        await self.drain_primary()
        started = time.monotonic()
        self.assertTrue(
            (await self.owner.execute(owner_case.WRITE, owner_case.LINK)).is_ok
        )
        longest = (
            owner_case.PROMOTION_DELAY_SECONDS + leases.STORE_ANSWER_SECONDS
        )
        self.assertLess(
            time.monotonic() - started, longest + owner_case.QUICK_SECONDS
        )

    async def test_a_draining_server_gets_no_work_after_its_time(self) -> None:
        """The platform is unreachable, so no other server is promoted."""
        self.promotions.is_unreachable = True
        await self.drain_primary()
        await asyncio.sleep(owner_case.DRAIN_SECONDS)
        received_count = len(self.first.received)
        for _ in range(5):
            work = dataclasses.replace(owner_case.READ, timeout=0.1)
            answer = await self.owner.execute(work, owner_case.LINK)
            self.assertIs(answer.code, answers.Code.OVERLOADED)
            await asyncio.sleep(0.1)
        self.assertEqual(len(self.first.received), received_count)
