"""Load pattern: one workspace sends ten times its share for seconds."""

import asyncio
import dataclasses
import unittest

from egretstep import errors, identifiers
from egretstep.pooling import fair_queue, queueing
from tests import virtual_time

SLOTS = 3
SERVICE_SECONDS = 0.01
WORKSPACES = 10
SHARE = SLOTS / SERVICE_SECONDS / WORKSPACES
QUIET_RATE = 0.9 * SHARE
HOT_RATE = 10 * SHARE
LOAD_SECONDS = 10.0
TIMEOUT_SECONDS = 0.3
HOT = identifiers.WorkspaceName('hot')
# Issue 10: of its solo service, which is all that it sends.
LEAST_SERVED = 0.9


@dataclasses.dataclass(slots=True)
class _Count:
    sent: int = 0
    served: int = 0
    waited: float = 0


class HotWorkspaceTest(unittest.TestCase):
    def test_the_worst_served_keeps_its_service(self) -> None:
        self.assertGreaterEqual(
            _worst_share(queueing.QueuePolicy.FAIR),
            LEAST_SERVED,
        )

    def test_it_waits_less_than_when_first_come_is_first_served(self) -> None:
        fair = _longest_mean_wait(queueing.QueuePolicy.FAIR)
        first_come = _longest_mean_wait(queueing.QueuePolicy.FIRST_COME)
        self.assertLess(fair, first_come / 2)


def _worst_share(policy: queueing.QueuePolicy) -> float:
    counts = virtual_time.run(_play(policy))
    return min(
        count.served / count.sent
        for workspace, count in counts.items()
        if workspace != HOT
    )


def _longest_mean_wait(policy: queueing.QueuePolicy) -> float:
    counts = virtual_time.run(_play(policy))
    return max(
        count.waited / count.served
        for workspace, count in counts.items()
        if workspace != HOT
    )


async def _play(
    policy: queueing.QueuePolicy,
) -> dict[identifiers.WorkspaceName, _Count]:
    queue = fair_queue.FairQueue(
        slots=SLOTS,
        time_source=virtual_time.LoopClock(),
        policy=policy,
    )
    rates = {
        identifiers.WorkspaceName(f'quiet-{number}'): QUIET_RATE
        for number in range(WORKSPACES - 1)
    }
    rates[HOT] = HOT_RATE
    counts = {workspace: _Count() for workspace in rates}
    await asyncio.gather(
        *(
            _send(queue, workspace, rate, counts[workspace])
            for workspace, rate in rates.items()
        ),
    )
    return counts


async def _send(
    queue: fair_queue.FairQueue,
    workspace: identifiers.WorkspaceName,
    rate: float,
    count: _Count,
) -> None:
    running = []
    for _ in range(int(LOAD_SECONDS * rate)):
        count.sent += 1
        running.append(
            asyncio.ensure_future(_run_one(queue, workspace, count)),
        )
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*running)


async def _run_one(
    queue: fair_queue.FairQueue,
    workspace: identifiers.WorkspaceName,
    count: _Count,
) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    try:
        async with queue.slot(
            workspace=workspace,
            weight=1,
            deadline=started + TIMEOUT_SECONDS,
        ):
            count.waited += loop.time() - started
            await asyncio.sleep(SERVICE_SECONDS)
    except errors.RefusedError:
        return
    count.served += 1
