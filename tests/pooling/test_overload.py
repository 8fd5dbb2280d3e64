"""Guards against statements that are refused only near their deadline.

Load pattern: replicas are lost, and the primary gets all their reads. Part of
the load belongs to open transactions, which do not queue, and most workspaces
are new to the queue. Statements that can't be served must be refused early,
so that their callers can retry elsewhere.
"""

import asyncio
import dataclasses
import unittest

from egretstep import errors, identifiers
from egretstep.pooling import fair_queue
from tests import virtual_time

SLOTS = 3
SERVICE_SECONDS = 0.03
WORKSPACES = 70
CAPACITY_PER_SECOND = SLOTS / SERVICE_SECONDS
LOAD_PER_SECOND = 3 * CAPACITY_PER_SECOND
PINNED_LOAD_PER_SECOND = 0.4 * CAPACITY_PER_SECOND
LOAD_SECONDS = 8.0
TIMEOUT_SECONDS = 1.5
# Share of the refused statements that may be refused after half their timeout.
MAX_LATE_SHARE = 0.1


@dataclasses.dataclass(slots=True)
class _Server:
    """A server whose slots run queued and pinned statements."""

    slots: asyncio.Semaphore
    served: int = 0
    refused: int = 0
    refused_late: int = 0

    async def run(self) -> None:
        async with self.slots:
            await asyncio.sleep(SERVICE_SECONDS)


class OverloadTest(unittest.TestCase):
    def test_most_are_refused_at_once(self) -> None:
        server = virtual_time.run(_simulate())
        self.assertGreater(server.refused, LOAD_PER_SECOND)
        self.assertLessEqual(
            server.refused_late, MAX_LATE_SHARE * server.refused
        )
        queued_capacity = (
            CAPACITY_PER_SECOND - PINNED_LOAD_PER_SECOND
        ) * LOAD_SECONDS
        self.assertGreaterEqual(server.served, 0.9 * queued_capacity)


async def _simulate() -> _Server:
    server = _Server(slots=asyncio.Semaphore(SLOTS))
    queue = fair_queue.FairQueue(
        slots=SLOTS,
        time_source=virtual_time.LoopClock(),
    )
    await asyncio.gather(
        _send(
            LOAD_PER_SECOND, lambda number: _run_queued(queue, server, number)
        ),
        _send(
            PINNED_LOAD_PER_SECOND,
            lambda number: _run_pinned(queue, server, number),
        ),
    )
    return server


async def _send(rate, run_one) -> None:
    running = []
    for number in range(int(LOAD_SECONDS * rate)):
        running.append(asyncio.ensure_future(run_one(number)))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*running)


async def _run_queued(
    queue: fair_queue.FairQueue,
    server: _Server,
    number: int,
) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    try:
        async with queue.slot(
            workspace=_workspace(number),
            weight=1,
            deadline=started + TIMEOUT_SECONDS,
        ):
            await server.run()
    except errors.RefusedError:
        server.refused += 1
        if loop.time() - started > TIMEOUT_SECONDS / 2:
            server.refused_late += 1
        return
    server.served += 1


async def _run_pinned(
    queue: fair_queue.FairQueue,
    server: _Server,
    number: int,
) -> None:
    with queue.charged(workspace=_workspace(number), weight=1):
        await server.run()


def _workspace(number: int) -> identifiers.WorkspaceName:
    return identifiers.WorkspaceName(f'workspace-{number % WORKSPACES}')
