"""Changes of the primary while callers write, against real host processes.

What callers were told and what the servers hold are compared afterwards.
"""

import asyncio
import itertools
import signal
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


def late_commits(
    group: platform_servers.Group, writers: Writers
) -> typing.Sequence[str]:
    """Return the acknowledged writes that a former primary committed late."""
    return [
        f'{entry.statement_id} at {server}, {entry.position}'
        for server, entry in group.commits
        if entry.statement_id in writers.acknowledged
        and any(
            takeover.term > entry.position[0]
            and takeover.at < entry.committed_at
            for takeover in group.takeovers
        )
    ]


Trouble = typing.Callable[
    [platform_fleet.PlatformFleet, platform_servers.Server], None
]


def _drain(
    fleet: platform_fleet.PlatformFleet, server: platform_servers.Server
) -> None:
    server.state = 'draining'
    fleet.store.register_all()


def _silence(
    _fleet: platform_fleet.PlatformFleet, server: platform_servers.Server
) -> None:
    server.faults.is_silent = True


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

    async def test_a_promotion_that_takes_effect_late_is_waited_for(
        self,
    ) -> None:
        """Guards against serving the former primary after a time limit."""
        async with platform_fleet.PlatformFleet(first_port=23630) as fleet:
            fleet.group.promotion_delay = 4.0
            await self._change_primary(fleet, _silence)

    async def test_a_promotion_whose_call_gets_no_answer_is_waited_for(
        self,
    ) -> None:
        """Guards against serving the former primary after a lost answer."""
        async with platform_fleet.PlatformFleet(first_port=23660) as fleet:
            fleet.group.promotion_delay = 1.5
            fleet.store.faults.promotion_answer_delay = 9.0
            await self._change_primary(fleet, _silence)

    async def test_a_planned_change_whose_call_gets_no_answer(self) -> None:
        """Guards against serving the former primary after a lost answer."""
        async with platform_fleet.PlatformFleet(first_port=23690) as fleet:
            fleet.group.promotion_delay = 1.05
            fleet.store.faults.promotion_answer_delay = 9.0
            await self._change_primary(fleet, _drain)

    async def test_an_owner_that_stops_hands_a_pending_promotion_over(
        self,
    ) -> None:
        """Guards against a successor that serves the former primary."""
        async with platform_fleet.PlatformFleet(first_port=23720) as fleet:
            fleet.group.promotion_delay = 1.0
            await self._change_primary(fleet, _drain, ends=signal.SIGTERM)

    async def test_a_killed_owner_leaves_a_pending_promotion(self) -> None:
        """Guards against a next owner that serves the former primary."""
        async with platform_fleet.PlatformFleet(first_port=23750) as fleet:
            fleet.group.promotion_delay = 4.0
            await self._change_primary(fleet, _silence, ends=signal.SIGKILL)

    async def _change_primary(
        self,
        fleet: platform_fleet.PlatformFleet,
        trouble: Trouble,
        *,
        ends: signal.Signals | None = None,
    ) -> None:
        """Replace the primary, and compare what was told with the logs.

        If `ends` is given, the owner gets this signal once it has requested
        the promotion.
        """
        fleet.group.former_primary_seconds = 1.0
        writers = Writers(fleet)
        writers.start()
        await asyncio.sleep(0.5)
        former = fleet.group.primary
        trouble(fleet, former)
        while not fleet.store.promotion_requests:
            await asyncio.sleep(0.01)
        former.faults.is_silent = False
        if ends is not None:
            await fleet.stop_host(fleet.owner(), ends)
        await asyncio.sleep(fleet.group.promotion_delay + 3)
        await writers.stop()
        self.assertIsNot(fleet.group.primary, former)
        self.assertEqual(late_commits(fleet.group, writers), [])
        last_acknowledged = max(writers.acknowledged.values())
        self.assertGreater(last_acknowledged, fleet.group.takeovers[-1].at)
