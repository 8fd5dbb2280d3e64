"""Changes of the primary while callers write, against real host processes.

What callers were told and what the servers hold are compared afterwards.
"""

import asyncio
import signal
import typing
import unittest

from standins import platform_fleet, platform_servers, platform_writers

# A missing entry counts as gone, and a log holder that left as dropped.
LAPSE_SECONDS = 4.0


def lost_commits(
    group: platform_servers.Group, writers: platform_writers.Writers
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
    group: platform_servers.Group, writers: platform_writers.Writers
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
            writers = platform_writers.Writers(fleet)
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

    async def test_a_replica_whose_entry_has_lapsed_still_counts(self) -> None:
        """The other one was promoted without its commits (review/6)."""
        async with platform_fleet.PlatformFleet(
            first_port=24600, sync_replicas=1
        ) as fleet:
            await self._lose_primary_after_lapse(fleet)

    async def test_a_lapsed_replica_counts_after_a_restart_of_all_hosts(
        self,
    ) -> None:
        """What an owner remembers is not enough (review/6)."""
        async with platform_fleet.PlatformFleet(
            first_port=24650, sync_replicas=1
        ) as fleet:
            await self._lose_primary_after_lapse(fleet, restarts_hosts=True)

    async def test_a_replica_that_left_on_plan_stops_no_promotion(self) -> None:
        """Guards against log holders that are never forgotten."""
        async with platform_fleet.PlatformFleet(
            first_port=24700, sync_replicas=1
        ) as fleet:
            former, leaving, _other = fleet.group.servers.values()
            leaving.state = 'draining'
            fleet.store.register_all()
            await asyncio.sleep(0.5)
            await leaving.stop()
            fleet.store.register_all()
            await asyncio.sleep(LAPSE_SECONDS)
            writers = platform_writers.Writers(fleet)
            writers.start()
            await asyncio.sleep(0.5)
            await former.stop()
            await asyncio.sleep(2)
            await writers.stop()
            self.assertTrue(fleet.group.takeovers)
            self.assertEqual(lost_commits(fleet.group, writers), [])

    async def _lose_primary_after_lapse(
        self,
        fleet: platform_fleet.PlatformFleet,
        *,
        restarts_hosts: bool = False,
    ) -> None:
        """Lose the primary after a replica's entry, but not the replica.

        The other replica lacks the last acknowledged commits.
        """
        former, lapsed, behind = fleet.group.servers.values()
        writers = platform_writers.Writers(fleet)
        writers.start()
        await asyncio.sleep(0.5)
        fleet.store.put('servers', lapsed.name, None)
        await asyncio.sleep(LAPSE_SECONDS)
        if restarts_hosts:
            for index in range(3):
                await fleet.stop_host(index, signal.SIGKILL)
            for index in range(3):
                await fleet.start_host(index)
            await fleet.wait_serving()
        behind.faults.is_deaf = True
        await asyncio.sleep(0.5)
        await former.stop()
        behind.faults.is_deaf = False
        stopped_at = asyncio.get_running_loop().time()
        await asyncio.sleep(4)
        await writers.stop()
        self.assertEqual(lost_commits(fleet.group, writers), [])
        last_acknowledged = max(writers.acknowledged.values())
        self.assertGreater(last_acknowledged, stopped_at + 1)

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
        writers = platform_writers.Writers(fleet)
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
