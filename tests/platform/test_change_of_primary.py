"""Changes of the primary while callers write, against real host processes.

What callers were told and what the servers hold are compared afterwards.
"""

import asyncio
import itertools
import typing
import unittest

from standins import platform_caller, platform_fleet, platform_servers

WRITER_COUNT = 6
WRITE_PAUSE_SECONDS = 0.02
_ids = itertools.count(1)


class Writers:
    """Callers that write through all hosts until they are stopped.

    `acknowledged` holds, by the id of each write that succeeded, the time of
    its answer.
    """

    def __init__(self, fleet: platform_fleet.PlatformFleet) -> None:
        self._fleet = fleet
        self._tasks: list[asyncio.Task[None]] = []
        self.acknowledged: dict[str, float] = {}

    def start(self) -> None:
        """Start to write."""
        self._tasks = [
            asyncio.create_task(self._write(number))
            for number in range(WRITER_COUNT)
        ]

    async def stop(self) -> None:
        """Stop to write."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def longest_gap(self, since: float) -> float:
        """Return the longest time without a successful write, in seconds."""
        times = sorted([since, *self.acknowledged.values()])
        pairs = itertools.pairwise(each for each in times if each >= since)
        return max((later - earlier for earlier, later in pairs), default=0)

    async def _write(self, number: int) -> None:
        while True:
            try:
                caller = await platform_caller.Caller.connect(
                    self._fleet.port(number % 3)
                )
                await self._write_until_error(caller, f'item-{number}')
            except (OSError, platform_caller.AnswerError):
                await asyncio.sleep(WRITE_PAUSE_SECONDS)

    async def _write_until_error(
        self, caller: platform_caller.Caller, item: str
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                statement_id = f'{next(_ids):x}'
                await caller.run(f'WRITE {item} 1', statement_id)
                self.acknowledged[statement_id] = loop.time()
                await asyncio.sleep(WRITE_PAUSE_SECONDS)
        finally:
            caller.close()


def lost_commits(
    group: platform_servers.Group, writers: Writers
) -> typing.Sequence[str]:
    """Return the acknowledged writes that a promoted server lacked."""
    lost = set()
    for takeover in group.takeovers:
        kept = {entry.statement_id for entry in takeover.log}
        lost |= {
            statement_id
            for statement_id, answered_at in writers.acknowledged.items()
            if answered_at < takeover.at and statement_id not in kept
        }
    return sorted(lost)


class ChangeOfPrimaryTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_replica_that_lacks_acknowledged_commits_is_promoted(
        self,
    ) -> None:
        """Guards against commits lost while the one that has them drains."""
        async with platform_fleet.PlatformFleet(
            first_port=23600, sync_replicas=1
        ) as fleet:
            former, complete, behind = fleet.group.servers.values()
            writers = Writers(fleet)
            writers.start()
            await asyncio.sleep(0.5)
            complete.state = 'draining'
            fleet.store.register_all()
            await asyncio.sleep(0.3)
            behind.faults.is_deaf = True
            await asyncio.sleep(0.5)
            await former.stop()
            await asyncio.sleep(3)
            await writers.stop()
            self.assertTrue(fleet.group.takeovers)
            self.assertEqual(lost_commits(fleet.group, writers), [])
