"""The voters follow the hosts that run, whatever the order of losses."""

import asyncio
import dataclasses
import typing
import unittest

from egretstep import identifiers
from egretstep.membership import (
    directory,
    voter_changes,
    voter_watch,
    voters,
)
from tests import platform_fakes, virtual_time
from tests.membership import voter_fleet

SETTLED_SECONDS = 8


class VoterChangesTest(unittest.TestCase):
    def _run(
        self,
        steps: typing.Callable[
            [voter_fleet.VoterFleet], typing.Awaitable[None]
        ],
    ) -> None:
        async def run() -> None:
            fleet = voter_fleet.VoterFleet()
            try:
                await steps(fleet)
            finally:
                await fleet.stop()

        virtual_time.run(run())

    async def _start(self, fleet: voter_fleet.VoterFleet, names: str) -> None:
        for name in names:
            await fleet.add(name)
        await self._expect(fleet, names)

    async def _expect(self, fleet: voter_fleet.VoterFleet, names: str) -> None:
        await asyncio.sleep(SETTLED_SECONDS)
        stored = await fleet.stored()
        self.assertIsNotNone(stored)
        groups = stored.groups if stored else ()
        self.assertEqual(groups, (frozenset(names),))

    def test_machines_replaced_one_by_one_stop_counting(self) -> None:
        """Lost machines counted for ever; then there was no majority."""

        async def steps(fleet: voter_fleet.VoterFleet) -> None:
            await self._start(fleet, 'abc')
            for lost, new, expected in (
                ('a', 'd', 'bcd'),
                ('b', 'e', 'cde'),
                ('c', 'f', 'def'),
            ):
                fleet.lose(lost)
                await asyncio.sleep(1)
                await fleet.add(new)
                await self._expect(fleet, expected)

        self._run(steps)

    def test_the_last_of_two_hosts_is_a_majority(self) -> None:
        """A fleet of two served no more once the owner was lost for good."""

        async def steps(fleet: voter_fleet.VoterFleet) -> None:
            await self._start(fleet, 'ab')
            fleet.lose('a')
            await self._expect(fleet, 'b')

        self._run(steps)

    def test_a_cut_minority_does_not_shrink_the_voters(self) -> None:
        """It sees the store, but the others may go on without it."""

        async def steps(fleet: voter_fleet.VoterFleet) -> None:
            await self._start(fleet, 'abcde')
            fleet.cut = {'a', 'b'}
            for name in 'cde':
                # To the hosts that see the store, they are lost.
                fleet.lose(name)
            await asyncio.sleep(SETTLED_SECONDS * 3)
            stored = await fleet.stored()
            assert stored is not None
            self.assertFalse(stored.is_quorum(frozenset('ab')))

        self._run(steps)

    def test_the_rest_of_a_fleet_goes_on_after_the_loss_of_most(self) -> None:
        """No majority is left, so that the store alone decides, and slowly."""

        async def steps(fleet: voter_fleet.VoterFleet) -> None:
            await self._start(fleet, 'abc')
            fleet.lose('a')
            fleet.lose('b')
            await fleet.add('d')
            await asyncio.sleep(voter_changes.FORCE_AFTER_SECONDS * 0.9)
            stored = await fleet.stored()
            assert stored is not None
            self.assertFalse(stored.is_forced)
            await asyncio.sleep(SETTLED_SECONDS * 2)
            last = fleet.hosts[identifiers.HostName('c')].known_voters
            self.assertTrue(last.current and last.current.is_forced)
            # Hosts that are cut off from the store may still go on.
            self.assertFalse(last.is_usable)
            self.assertFalse(last.accepts(stored.epoch))
            self.assertGreater(last.takeover_delay, SETTLED_SECONDS)
            fleet.store.is_down = True
            await asyncio.sleep(voters.FORCED_WAIT_SECONDS)
            # What happened meanwhile is not known yet.
            self.assertFalse(last.is_usable)
            fleet.store.is_down = False
            await asyncio.sleep(SETTLED_SECONDS)
            self.assertTrue(last.is_usable)
            self.assertEqual(last.takeover_delay, 0)
            self.assertEqual(last.current.target, frozenset('cd'))

        self._run(steps)

    def test_two_short_losses_of_most_force_nothing(self) -> None:
        """The time of a former loss counted for the next one."""

        async def steps(fleet: voter_fleet.VoterFleet) -> None:
            await self._start(fleet, 'abc')
            for _ in range(2):
                for name in 'ab':
                    fleet.lose(name)
                await asyncio.sleep(voter_changes.FORCE_AFTER_SECONDS * 0.9)
                for name in 'ab':
                    await fleet.add(name)
                await asyncio.sleep(SETTLED_SECONDS)
            stored = await fleet.stored()
            assert stored is not None
            self.assertFalse(stored.is_forced)

        self._run(steps)

    def test_new_hosts_alone_force_nothing(self) -> None:
        """The voters may all run on, cut off with each other."""

        async def steps(fleet: voter_fleet.VoterFleet) -> None:
            await self._start(fleet, 'abc')
            for name in 'abc':
                fleet.lose(name)
            await fleet.add('d')
            await asyncio.sleep(voters.FORCED_WAIT_SECONDS * 2)
            stored = await fleet.stored()
            assert stored is not None
            self.assertEqual(stored.target, frozenset('abc'))

        self._run(steps)

    def test_the_first_set_waits_for_hosts_that_start_slowly(self) -> None:
        """One host alone was the only voter, and could be lost."""

        async def steps(fleet: voter_fleet.VoterFleet) -> None:
            await fleet.add('a')
            for name in 'bc':
                await fleet.write_row(platform_fakes.host(name))
            await asyncio.sleep(voter_changes.START_DELAY_SECONDS * 3)
            self.assertIsNone(await fleet.stored())
            for name in 'bc':
                await fleet.add(name)
            await self._expect(fleet, 'abc')

        self._run(steps)

    def test_a_short_silence_changes_nothing(self) -> None:
        async def steps(fleet: voter_fleet.VoterFleet) -> None:
            await self._start(fleet, 'abc')
            before = await fleet.stored()
            fleet.hosts[identifiers.HostName('a')].is_up = False
            await asyncio.sleep(voter_watch.SILENT_SECONDS / 2)
            fleet.hosts[identifiers.HostName('a')].is_up = True
            await asyncio.sleep(SETTLED_SECONDS)
            self.assertEqual(await fleet.stored(), before)

        self._run(steps)

    def test_a_host_that_was_cut_off_votes_again(self) -> None:
        async def steps(fleet: voter_fleet.VoterFleet) -> None:
            await self._start(fleet, 'abc')
            fleet.cut = {'a'}
            await self._expect(fleet, 'bc')
            fleet.cut = set()
            await self._expect(fleet, 'abc')

        self._run(steps)

    def test_a_stopped_host_leaves_the_voters(self) -> None:
        async def steps(fleet: voter_fleet.VoterFleet) -> None:
            await self._start(fleet, 'abc')
            host = fleet.hosts[identifiers.HostName('a')]
            await host.changes.leave(fleet.clock.now() + 3)
            self.assertFalse(host.changes.is_voter)
            fleet.lose('a')
            await self._expect(fleet, 'bc')

        self._run(steps)

    def test_a_host_that_stopped_without_its_own_change_is_left_out(
        self,
    ) -> None:
        async def steps(fleet: voter_fleet.VoterFleet) -> None:
            await self._start(fleet, 'abc')
            gone = dataclasses.replace(
                platform_fakes.host('a'), state=directory.HostState.GONE
            )
            fleet.lose('a')
            await fleet.write_row(gone)
            await asyncio.sleep(voter_watch.SILENT_SECONDS * 0.9)
            stored = await fleet.stored()
            assert stored is not None
            self.assertEqual(stored.target, frozenset('bc'))

        self._run(steps)

    def test_a_host_that_ended_in_a_change_holds_up_nothing(self) -> None:
        async def steps(fleet: voter_fleet.VoterFleet) -> None:
            await self._start(fleet, 'abc')
            latest = await fleet.stored()
            assert latest is not None
            all_hosts = frozenset(fleet.hosts)
            joint = latest.next_step(
                all_hosts - {'c'}, all_hosts, latest.epoch + 1
            )
            assert joint is not None
            self.assertTrue(joint.is_joint)
            row = await fleet.store.read_row(directory.TABLE, voters.KEY)
            await fleet.store.compare_and_swap(
                directory.TABLE,
                voters.KEY,
                expected=row.version,
                content=voters.encode(joint),
            )
            await self._expect(fleet, 'abc')

        self._run(steps)

    def test_a_restored_store_gets_the_latest_voters_again(self) -> None:
        """Else hosts that have left would count, and new ones not."""

        async def steps(fleet: voter_fleet.VoterFleet) -> None:
            await self._start(fleet, 'abc')
            copy = dict(fleet.store.rows)
            await fleet.add('d')
            await self._expect(fleet, 'abcd')
            latest = await fleet.stored()
            fleet.store.rows = {**fleet.store.rows, **copy}
            await self._expect(fleet, 'abcd')
            self.assertEqual(await fleet.stored(), latest)

        self._run(steps)

    def test_hosts_that_start_together_need_one_change(self) -> None:
        async def steps(fleet: voter_fleet.VoterFleet) -> None:
            await self._start(fleet, 'abcdefgh')
            stored = await fleet.stored()
            assert stored is not None
            self.assertLessEqual(stored.epoch % 10**9, 3)

        self._run(steps)
