"""Hosts with leases in one process, for tests on virtual time."""

import asyncio
import typing
import unittest
from unittest import mock

from egretstep import clock
from egretstep.membership import claims, directory, lease_renewal, leases
from tests import platform_fakes

TASK = claims.TaskName('service-ledger')
FIRST_ERA = 1


class Confirmers:
    """The other hosts, as lease keepers in the same process."""

    def __init__(self) -> None:
        self.keepers: list[leases.LeaseKeeper] = []
        self.needed = 1

    async def confirm(
        self, sent: typing.Sequence[claims.Claim]
    ) -> claims.Confirmation:
        """Ask the hosts that have read the store."""
        replies = [
            keeper.newer_claims(sent)
            for keeper in self.keepers
            if keeper.can_confirm(sent)
        ]
        return claims.Confirmation(
            newer=replies, has_quorum=len(replies) >= self.needed
        )


class LeaseTestCase(unittest.IsolatedAsyncioTestCase):
    """Hosts x, y and z, which share a store and confirm each other's claims."""

    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=100)
        self.store = platform_fakes.FakeTables()
        self.confirmers = {name: Confirmers() for name in 'xyz'}
        self.directories: dict[str, directory.Directory] = {}
        self.renewals: dict[str, lease_renewal.LeaseRenewal] = {}
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

    async def claim(self, name: str) -> claims.Claim:
        keeper = self.keepers[name]
        claim = await keeper.claim(TASK, keeper.known.get(TASK))
        await asyncio.gather(*pending_tasks())
        if claim is None:
            raise AssertionError(f'{name} could not claim task {TASK}')
        return claim

    def is_held(self, name: str, claim: claims.Claim) -> bool:
        return self.keepers[name].is_held(TASK, claim.epoch)

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
            first_era=FIRST_ERA,
        )
        keeper.mark_synced(FIRST_ERA)
        self.renewals[name] = lease_renewal.LeaseRenewal(
            keeper=keeper,
            store=self.store,
            confirmers=self.confirmers[name],
            time_source=self.clock,
        )
        return keeper


def pending_tasks() -> list[asyncio.Task[typing.Any]]:
    """Return the other tasks of the running event loop."""
    current = asyncio.current_task()
    return [task for task in asyncio.all_tasks() if task is not current]
