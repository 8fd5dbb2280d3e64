"""Guards against a busy workspace taking the service of the others.

Load pattern: one workspace sends ten times its fair share for ten seconds,
while nine others send slightly less than theirs.
"""

import asyncio
import dataclasses
import unittest

from egretstep import errors, identifiers
from egretstep.pooling import fair_queue, queueing
from tests import virtual_time

SLOTS = 3
SERVICE_SECONDS = 0.01
WORKSPACES = 10
FAIR_RATE = SLOTS / SERVICE_SECONDS / WORKSPACES
QUIET_RATE = 0.9 * FAIR_RATE
HOT_RATE = 10 * FAIR_RATE
LOAD_SECONDS = 10.0
TIMEOUT_SECONDS = 0.3
HOT = identifiers.WorkspaceName('hot')
# Issue 10: share of the statements of a workspace that must be served. Alone,
# it would have all of them served.
MIN_SERVED_SHARE = 0.9


@dataclasses.dataclass(slots=True)
class _Count:
    sent: int = 0
    served: int = 0
    waited_seconds: float = 0


class HotWorkspaceTest(unittest.TestCase):
    def test_the_worst_served_workspace_keeps_its_service(self) -> None:
        self.assertGreaterEqual(
            _lowest_served_share(queueing.QueuePolicy.FAIR),
            MIN_SERVED_SHARE,
        )

    def test_other_workspaces_wait_less_than_with_first_come(self) -> None:
        fair = _longest_mean_wait(queueing.QueuePolicy.FAIR)
        first_come = _longest_mean_wait(queueing.QueuePolicy.FIRST_COME)
        self.assertLess(fair, first_come / 2)


def _lowest_served_share(policy: queueing.QueuePolicy) -> float:
    counts = virtual_time.run(_simulate(policy))
    return min(
        count.served / count.sent
        for workspace, count in counts.items()
        if workspace != HOT
    )


def _longest_mean_wait(policy: queueing.QueuePolicy) -> float:
    counts = virtual_time.run(_simulate(policy))
    return max(
        count.waited_seconds / count.served
        for workspace, count in counts.items()
        if workspace != HOT
    )


async def _simulate(
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
            count.waited_seconds += loop.time() - started
            await asyncio.sleep(SERVICE_SECONDS)
    except errors.RefusedError:
        return
    count.served += 1
