"""What a former primary still runs while and after it is replaced."""

import asyncio
import dataclasses
import time

from egretstep.backends import answers, commands, connection
from egretstep.pooling import work as work_module
from egretstep.replication import primary
from tests.replication import owner_case

SLOW_SECONDS = 1.2
# A service's slots: as many statements run, and the others wait.
SLOTS = 2
COMMIT = dataclasses.replace(
    owner_case.WRITE,
    command=commands.Command(action=commands.Action.COMMIT, text=b'COMMIT'),
    is_pinned=True,
)


class FormerPrimaryTest(owner_case.OwnerCase):
    async def test_a_running_write_is_not_acknowledged(self) -> None:
        """A slow primary is taken for dead and commits after the change."""
        self._hang_primary()
        running = asyncio.ensure_future(self._write())
        answer = await running
        self.assertIs(answer.code, answers.Code.UNKNOWN_OUTCOME)
        self.assertEqual(self.second.role, connection.Role.REPLICA)

    async def test_a_waiting_write_runs_at_the_next_primary(self) -> None:
        self._hang_primary()
        writes = [asyncio.ensure_future(self._write()) for _ in range(4)]
        found = await asyncio.gather(*writes)
        codes = [each.code for each in found]
        self.assertEqual(codes.count(answers.Code.OK), len(writes) - SLOTS)
        self.assertEqual(len(self.second.received), len(writes) - SLOTS)
        # The first statement is that of the set-up.
        self.assertEqual(len(self.first.received), 1 + SLOTS)

    async def test_an_open_transaction_is_not_committed(self) -> None:
        self.first.states[owner_case.WRITE.command.text] = (
            answers.TransactionState.INSIDE
        )
        opening = dataclasses.replace(
            owner_case.WRITE, opens=work_module.Opens.TRANSACTION
        )
        opened = await self.owner.execute(opening, owner_case.LINK)
        self.assertTrue(opened.is_pinned)
        self._hang_primary()
        answer = await self.owner.execute(
            dataclasses.replace(COMMIT, timeout=3), owner_case.LINK
        )
        self.assertIs(answer.code, answers.Code.UNKNOWN_OUTCOME)

    async def test_a_planned_change_ends_what_outlasts_the_drain(self) -> None:
        self.first.work_seconds = primary.MAX_DRAIN_SECONDS * 2
        running = asyncio.ensure_future(self._write(timeout=9))
        await asyncio.sleep(0.1)
        await self.drain_primary()
        answer = await running
        self.assertIs(answer.code, answers.Code.UNKNOWN_OUTCOME)
        self.assertEqual(self.second.role, connection.Role.REPLICA)

    async def test_a_read_that_waits_does_not_run_at_a_former_primary(
        self,
    ) -> None:
        """It would miss what the next primary has acknowledged."""
        await self.drain_primary()
        self.first.work_seconds = owner_case.PROMOTION_DELAY_SECONDS * 2
        started = time.monotonic()
        reads = [
            asyncio.ensure_future(
                self.owner.execute(owner_case.READ, owner_case.LINK)
            )
            for _ in range(4)
        ]
        found = await asyncio.gather(*reads)
        self.assertTrue(all(each.is_ok for each in found))
        self.assertEqual(len(self.second.received), len(reads))
        self.assertLess(time.monotonic() - started, 1)

    async def test_nothing_runs_after_a_stop(self) -> None:
        self.first.work_seconds = SLOW_SECONDS
        writes = [asyncio.ensure_future(self._write()) for _ in range(3)]
        await asyncio.sleep(0.1)
        await self.owner.stop(longest_wait=0)
        self.owner.redirect_waiting()
        codes = [each.code for each in await asyncio.gather(*writes)]
        self.assertEqual(codes.count(answers.Code.UNKNOWN_OUTCOME), SLOTS)
        self.assertEqual(len(self.first.received), 1 + SLOTS)

    async def test_a_slow_primary_that_answers_is_not_replaced(self) -> None:
        """Its slots are full, so that it reports no status in time."""
        self._hang_primary()
        self.first.work_seconds = 0.3
        deadline = time.monotonic() + 3
        codes = set()
        while time.monotonic() < deadline:
            found = await asyncio.gather(self._write(0.2), self._write())
            codes.update(each.code for each in found)
            await asyncio.sleep(0.02)
        self.assertEqual(codes, {answers.Code.OK, answers.Code.UNKNOWN_OUTCOME})
        self.assertEqual(self.second.role, connection.Role.REPLICA)

    async def test_a_primary_whose_address_another_server_has_is_replaced(
        self,
    ) -> None:
        """The refusals of that server are no signs of life of the primary."""
        for each in self.first.connections:
            each.close()
        self.first.refuses_with = answers.Code.WRONG_SERVER
        self.assertIs((await self._write()).code, answers.Code.WRONG_SERVER)
        await asyncio.sleep(1)
        self.assertIs(self.second.role, connection.Role.PRIMARY)
        self.assertTrue((await self._write()).is_ok)

    def _hang_primary(self) -> None:
        """Slow the primary down, and let it report no status."""
        self.first.work_seconds = SLOW_SECONDS
        self.first.reports_status = False

    async def _write(self, timeout: float = 3) -> answers.Answer:
        work = dataclasses.replace(owner_case.WRITE, timeout=timeout)
        return await self.owner.execute(work, owner_case.LINK)
