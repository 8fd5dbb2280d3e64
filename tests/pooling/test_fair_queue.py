import asyncio
import unittest

from egretstep import clock, errors, identifiers
from egretstep.pooling import fair_queue, queueing
from tests import virtual_time

SERVICE_SECONDS = 0.002
SWEEP_SECONDS = 0.5
LIMIT_SECONDS = 10.0
SHORT = identifiers.WorkspaceName('short')
LONG = identifiers.WorkspaceName('long')


class FairQueueTest(unittest.IsolatedAsyncioTestCase):
    async def _serve(
        self,
        queue: fair_queue.FairQueue,
        workspace: identifiers.WorkspaceName,
        order: list[str],
    ) -> None:
        async with queue.slot(workspace=workspace, weight=1, deadline=1e9):
            await asyncio.sleep(SERVICE_SECONDS)
            order.append(workspace)

    async def _completion_order(
        self, policy: queueing.QueuePolicy
    ) -> list[str]:
        queue = fair_queue.FairQueue(
            slots=1,
            time_source=clock.MonotonicClock(),
            policy=policy,
        )
        order: list[str] = []
        tasks = [
            asyncio.create_task(self._serve(queue, name, order))
            for name in [LONG] * 20 + [SHORT] * 2
        ]
        await asyncio.gather(*tasks)
        return order

    async def test_small_workspace_is_not_behind_a_large_one(self) -> None:
        order = await self._completion_order(queueing.QueuePolicy.FAIR)
        self.assertLess(order.index(SHORT), 4)

    async def test_first_come_policy_keeps_the_arrival_order(self) -> None:
        order = await self._completion_order(queueing.QueuePolicy.FIRST_COME)
        self.assertEqual(order.index(SHORT), 20)

    async def test_statement_that_would_be_late_is_refused_at_once(
        self,
    ) -> None:
        time_source = clock.MonotonicClock()
        queue = fair_queue.FairQueue(slots=1, time_source=time_source)
        order: list[str] = []
        tasks = [
            asyncio.create_task(self._serve(queue, LONG, order))
            for _ in range(50)
        ]
        await asyncio.sleep(0)
        started = time_source.now()
        with self.assertRaises(errors.RefusedError) as refused:
            async with queue.slot(
                workspace=LONG,
                weight=1,
                deadline=started + 0.01,
            ):
                self.fail('must not run')
        self.assertLess(time_source.now() - started, 0.01)
        self.assertGreater(refused.exception.refusal.retry_after_ms, 0)
        await asyncio.gather(*tasks)

    async def test_cancelled_waiter_does_not_keep_a_slot(self) -> None:
        queue = fair_queue.FairQueue(
            slots=1,
            time_source=clock.MonotonicClock(),
        )
        order: list[str] = []
        tasks = [
            asyncio.create_task(self._serve(queue, LONG, order))
            for _ in range(3)
        ]
        await asyncio.sleep(0)
        tasks[1].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual((len(order), queue.load), (2, 0))


class SilentServerTest(virtual_time.VirtualTimeTestCase):
    async def test_a_waiting_statement_is_rejected_before_its_deadline(
        self,
    ) -> None:
        """Guards against a wait until the deadline while nothing arrives."""
        time_source = virtual_time.LoopClock()
        queue = fair_queue.FairQueue(slots=1, time_source=time_source)
        running = asyncio.create_task(self._use(queue))
        await asyncio.sleep(0)
        waiting = asyncio.create_task(self._use(queue))
        while not waiting.done():
            await asyncio.sleep(SWEEP_SECONDS)
            queue.sweep()
        self.assertIsInstance(waiting.exception(), errors.RefusedError)
        self.assertLess(time_source.now(), 0.6 * LIMIT_SECONDS)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        self.assertEqual(queue.load, 0)

    async def _use(self, queue: fair_queue.FairQueue) -> None:
        now = virtual_time.LoopClock().now()
        async with queue.slot(
            workspace=SHORT, weight=1, deadline=now + LIMIT_SECONDS
        ):
            await asyncio.sleep(10 * LIMIT_SECONDS)
