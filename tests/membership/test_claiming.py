"""Guards against tasks that no host claims, although all hosts are up."""

import asyncio
import typing

from egretstep import clock, identifiers
from egretstep.membership import (
    claiming,
    claims,
    directory,
    leases,
    task_ranking,
)
from egretstep.storage import tables
from tests import platform_fakes, virtual_time

TASK = claims.TaskName('service-ledger')
FIRST_BOOT = 1
SECOND_BOOT = 2
LONG_SECONDS = 20


class _LostHost:
    """Other hosts, of which all agree that y is lost, or that it is not."""

    def __init__(self) -> None:
        self.is_lost_now = True

    async def reaches(self, host: identifiers.HostName) -> bool:
        return not await self.is_lost(host)

    async def is_lost(self, host: identifiers.HostName) -> bool:
        return self.is_lost_now and host == 'y'


class ClaimingTest(virtual_time.VirtualTimeTestCase):
    """Hosts x, y and z, whose processes have all restarted."""

    def setUp(self) -> None:
        self.store = platform_fakes.FakeTables()
        self.started: list[claims.Claim] = []

    async def test_task_of_ended_processes_is_claimed(self) -> None:
        """Each host knew another one as the holder after a restore."""
        self._run_host('x', known=_claim('y', boot=FIRST_BOOT, epoch=3))
        self._run_host('y', known=_claim('x', boot=FIRST_BOOT, epoch=1))
        await asyncio.sleep(LONG_SECONDS)
        self.assertEqual(len(self.started), 1, self.started)

    async def test_task_of_a_running_process_is_not_claimed(self) -> None:
        self._run_host('x', known=_claim('y', boot=SECOND_BOOT, epoch=3))
        await asyncio.sleep(LONG_SECONDS)
        self.assertEqual(self.started, [])

    async def test_the_holder_claims_its_task_after_a_restart(self) -> None:
        known = _claim('y', boot=FIRST_BOOT, epoch=3)
        self._run_host('x', known=known)
        await asyncio.sleep(claiming.STARTUP_DELAY_SECONDS)
        self._run_host('y', known=known)
        await asyncio.sleep(LONG_SECONDS)
        self.assertEqual([claim.host for claim in self.started], ['y'])

    async def test_an_earlier_failure_of_the_holder_does_not_count(
        self,
    ) -> None:
        """One missed probe ended a lease, long after a former failure."""
        prober = _LostHost()
        first = _claim('y', boot=SECOND_BOOT, epoch=3)
        keeper = self._run_host('x', known=first, prober=prober)
        await asyncio.sleep(claiming.FAILURE_DETECTION_SECONDS / 2)
        keeper.merge(_claim('z', boot=SECOND_BOOT, epoch=4))
        prober.is_lost_now = False
        await asyncio.sleep(LONG_SECONDS)
        keeper.merge(_claim('y', boot=SECOND_BOOT, epoch=5))
        prober.is_lost_now = True
        await asyncio.sleep(claiming.FAILURE_DETECTION_SECONDS / 2)
        prober.is_lost_now = False
        await asyncio.sleep(LONG_SECONDS)
        self.assertEqual(self.started, [])

    def _run_host(
        self,
        name: str,
        *,
        known: claims.Claim,
        prober: claiming.Prober | None = None,
    ) -> leases.LeaseKeeper:
        hosts = directory.Directory(
            own=platform_fakes.host(name, boot=SECOND_BOOT),
            time_source=clock.MonotonicClock(),
        )
        hosts.update(_host_rows())
        keeper = leases.LeaseKeeper(
            store=self.store,
            hosts=hosts,
            confirmers=platform_fakes.NoOtherHosts(),
            time_source=clock.MonotonicClock(),
            first_era=self.store.era,
        )
        keeper.merge(known)
        keeper.mark_synced(era=self.store.era)
        claimant = claiming.Claimant(
            keeper=keeper,
            hosts=hosts,
            prober=prober or platform_fakes.NoOtherHosts(),
            wanted=_wanted_tasks,
            start=self.started.append,
            time_source=clock.MonotonicClock(),
        )
        running = asyncio.ensure_future(claimant.run())
        self.addCleanup(running.cancel)
        return keeper


def _host_rows() -> dict[str, tables.Row]:
    version = platform_fakes.version(1)
    hosts = [platform_fakes.host(name, boot=SECOND_BOOT) for name in 'xyz']
    return {
        f'{directory.PREFIX}{host.host}': tables.Row(
            key=f'{directory.PREFIX}{host.host}',
            content=directory.encode(host),
            version=version,
        )
        for host in hosts
    }


def _wanted_tasks() -> typing.Sequence[task_ranking.Task]:
    return (task_ranking.Task(name=TASK, zone=identifiers.ZoneName('north')),)


def _claim(host: str, *, boot: int, epoch: int) -> claims.Claim:
    return claims.Claim(
        task=TASK,
        host=identifiers.HostName(host),
        boot=boot,
        epoch=epoch,
    )
