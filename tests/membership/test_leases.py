"""Checks that `leases` follows the rule of `specifications/leases.py`."""

import asyncio
import typing
import unittest
from unittest import mock

from egretstep import clock
from egretstep.membership import claims, directory, leases
from tests import platform_fakes

TASK = claims.TaskName('service-ledger')


class _Confirmers:
    """The other hosts, as lease keepers in the same process."""

    def __init__(self) -> None:
        self.keepers: list[leases.LeaseKeeper] = []
        self.needed = 1

    async def confirm(
        self,
        claims: typing.Sequence[claims.Claim],
    ) -> list[typing.Sequence[claims.Claim]]:
        """Ask the hosts that have read the store."""
        return [
            keeper.newer_claims(claims)
            for keeper in self.keepers
            if keeper.is_synced
        ]

    def majority(self) -> int:
        """Return how many other hosts must answer."""
        return self.needed


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=100)
        self.store = platform_fakes.FakeTables()
        self.confirmers = {name: _Confirmers() for name in 'xyz'}
        self.directories: dict[str, directory.Directory] = {}
        self.keepers = {name: self._keeper(name) for name in 'xyz'}
        for name, confirmers in self.confirmers.items():
            confirmers.keepers = [
                keeper
                for other, keeper in self.keepers.items()
                if other != name
            ]
        patched = mock.patch.object(
            leases.asyncio,
            'sleep',
            side_effect=self._sleep,
        )
        patched.start()
        self.addCleanup(patched.stop)

    async def test_a_lease_expires_without_renewal(self) -> None:
        claim = await self._claim('x')
        self.assertTrue(self.keepers['x'].is_held(TASK, claim.epoch))
        self.clock.advance(leases.LEASE_SECONDS)
        self.assertFalse(self.keepers['x'].is_held(TASK, claim.epoch))

    async def test_a_new_claim_ends_the_suspicion_of_its_host(self) -> None:
        """Guards against calls to a new holder that are refused needlessly.

        After an outage of all hosts, the new owner was avoided for a second
        longer, because of a suspicion from before its claim.
        """
        former = await self._claim('x')
        hosts = self.directories['y']
        self.keepers['y'].merge(former)
        hosts.suspect(former.host, 'refused')
        new_claim = await self._claim('x')
        self.keepers['y'].merge(new_claim)
        self.assertGreater(new_claim.epoch, former.epoch)
        self.assertFalse(hosts.is_suspected(former.host))

    async def test_the_store_renews(self) -> None:
        claim = await self._claim('x')
        self.clock.advance(1)
        await self.keepers['x']._renew([claim])
        self.clock.advance(leases.LEASE_SECONDS - 0.5)
        self.assertTrue(self.keepers['x'].is_held(TASK, claim.epoch))

    async def test_a_majority_renews_while_the_store_is_down(self) -> None:
        claim = await self._claim('x')
        self.store.is_down = True
        self.clock.advance(1)
        await self.keepers['x']._renew([claim])
        self.clock.advance(leases.LEASE_SECONDS - 0.5)
        self.assertTrue(self.keepers['x'].is_held(TASK, claim.epoch))

    async def test_a_host_that_has_not_read_the_store_does_not_count(
        self,
    ) -> None:
        claim = await self._claim('x')
        self.store.is_down = True
        for name in 'yz':
            self.keepers[name].is_synced = False
        self.clock.advance(1)
        await self.keepers['x']._renew([claim])
        self.clock.advance(leases.LEASE_SECONDS - 0.5)
        self.assertFalse(self.keepers['x'].is_held(TASK, claim.epoch))

    async def test_a_new_holder_waits_until_the_former_lease_expires(
        self,
    ) -> None:
        former = await self._claim('x')
        self.keepers['y'].merge(former)
        started = self.clock.now()
        new_claim = await self._claim('y')
        self.assertGreaterEqual(
            self.clock.now() - started,
            leases.LEASE_SECONDS,
        )
        self.assertFalse(self.keepers['x'].is_held(TASK, former.epoch))
        self.assertTrue(self.keepers['y'].is_held(TASK, new_claim.epoch))

    async def test_a_new_holder_without_a_majority_gets_no_lease(self) -> None:
        former = await self._claim('x')
        self.keepers['y'].merge(former)
        self.confirmers['y'].keepers = []
        self.assertIsNone(await self.keepers['y'].claim(TASK, former))
        self.assertFalse(self.keepers['y'].is_renewing(TASK))

    async def test_a_claim_whose_answer_was_lost_still_needs_the_wait(
        self,
    ) -> None:
        former = await self._claim('x')
        self.keepers['y'].merge(former)
        self.store.loses_answers = True
        self.assertIsNone(await self.keepers['y'].claim(TASK, former))
        self.store.loses_answers = False
        started = self.clock.now()
        await self._claim('y')
        self.assertGreaterEqual(
            self.clock.now() - started,
            leases.LEASE_SECONDS,
        )

    async def test_only_one_of_two_hosts_takes_over_from_a_lost_holder(
        self,
    ) -> None:
        """Both hosts found x lost; z, the slower one, must not replace y."""
        former = await self._claim('x')
        for name in 'yz':
            self.keepers[name].merge(former)
        new_claim = await self._claim('y')
        self.assertIsNone(await self.keepers['z'].claim(TASK, former))
        self.assertTrue(self.keepers['y'].is_held(TASK, new_claim.epoch))

    async def test_a_released_task_is_taken_without_a_wait(self) -> None:
        former = await self._claim('x')
        released = await self.keepers['x'].hand_over(
            TASK,
            platform_fakes.host('y'),
        )
        self.assertTrue(released)
        self.assertFalse(self.keepers['x'].is_held(TASK, former.epoch))
        started = self.clock.now()
        new_claim = await self._claim('y')
        self.assertEqual(self.clock.now(), started)
        self.assertTrue(self.keepers['y'].is_held(TASK, new_claim.epoch))

    async def test_what_a_holder_records_reaches_its_successor(self) -> None:
        claim = await self._claim('x')
        await self.keepers['x'].record(claim, 'server-2')
        await asyncio.gather(*_pending())
        self.assertEqual(self.keepers['y'].known[TASK].detail, 'server-2')
        new_claim = await self._claim('y')
        self.assertEqual(new_claim.detail, 'server-2')

    async def _claim(self, name: str) -> claims.Claim:
        keeper = self.keepers[name]
        claim = await keeper.claim(TASK, keeper.known.get(TASK))
        await asyncio.gather(*_pending())
        if claim is None:
            raise AssertionError(f'{name} could not claim task {TASK}')
        return claim

    async def _sleep(self, seconds: float) -> None:
        self.clock.advance(seconds)

    def _keeper(self, name: str) -> leases.LeaseKeeper:
        self.directories[name] = directory.Directory(
            own=platform_fakes.host(name),
            time_source=self.clock,
        )
        keeper = leases.LeaseKeeper(
            store=self.store,
            hosts=self.directories[name],
            confirmers=self.confirmers[name],
            time_source=self.clock,
        )
        keeper.is_synced = True
        return keeper


def _pending() -> list[asyncio.Task[typing.Any]]:
    current = asyncio.current_task()
    return [task for task in asyncio.all_tasks() if task is not current]
