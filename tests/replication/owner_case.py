"""Set-up of tests of an owner with two servers, on virtual time."""

import asyncio
import contextlib
import dataclasses
import typing

from egretstep import clock, errors
from egretstep.backends import commands, connection
from egretstep.membership import claims, directory, lease_renewal, leases
from egretstep.pooling import brokers
from egretstep.pooling import work as work_module
from egretstep.replication import failover, primary
from egretstep.routing import dispatcher
from egretstep.settings import deployment
from tests import platform_fakes, virtual_time
from tests.replication import registered_servers

TASK = dispatcher.ownership_task(platform_fakes.SERVICE)
LINK = work_module.LinkId(1)
PROMOTION_DELAY_SECONDS = 0.4
DRAIN_SECONDS = 0.6
QUICK_SECONDS = 0.1
WRITE = work_module.Work(
    statement_id=b'id-1',
    command=commands.Command(action=commands.Action.WRITE, text=b'WRITE a 1'),
    workspace=platform_fakes.DEPOT,
    service=platform_fakes.SERVICE,
    timeout=1.5,
)
READ = dataclasses.replace(
    WRITE,
    command=commands.Command(action=commands.Action.READ, text=b'READ a'),
)


class UnresponsiveTables(platform_fakes.FakeTables):
    """A store that does not answer writes while `is_unresponsive` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.is_unresponsive = False

    async def compare_and_swap(self, *place: str, **row: typing.Any) -> int:
        if self.is_unresponsive:
            await asyncio.sleep(1)
            raise errors.PlatformError('no answer')
        return await super().compare_and_swap(*place, **row)


class Promotions:
    """Promotes a server after `delay` seconds.

    Unless `is_unreachable` is set, or `is_refused`. If `loses_answers` is set,
    the promotion takes effect, but the owner is not told so.
    """

    def __init__(self, promoted: platform_fakes.FakeServer) -> None:
        self._promoted = promoted
        self.delay = PROMOTION_DELAY_SECONDS
        self.is_unreachable = False
        self.is_refused = False
        self.loses_answers = False
        self.request_count = 0

    async def promote(self, **order: typing.Any) -> None:
        self.request_count += 1
        if self.is_refused:
            raise failover.PromotionRefusedError('too many calls')
        if self.is_unreachable:
            raise errors.PlatformError('the platform is unreachable')
        if order['server'] != self._promoted.name:
            # It leads already, so that nothing changes.
            return
        asyncio.get_running_loop().call_later(
            self.delay,
            self._complete,
        )
        if self.loses_answers:
            raise errors.PlatformError('no answer')

    def _complete(self) -> None:
        self._promoted.role = connection.Role.PRIMARY
        self._promoted.term = 2


class OwnerCase(virtual_time.VirtualTimeTestCase):
    """Tests of an owner that serves the primary `first` of two servers."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.first = platform_fakes.FakeServer(
            name='first',
            role=connection.Role.PRIMARY,
        )
        self.second = platform_fakes.FakeServer(name='second')
        self.servers = registered_servers.RegisteredServers(
            self.first, self.second
        )
        self.promotions = Promotions(self.second)
        self.store = UnresponsiveTables()
        self.clock = clock.MonotonicClock()
        self.keeper = leases.LeaseKeeper(
            store=self.store,
            hosts=directory.Directory(
                own=platform_fakes.host('own'),
                time_source=self.clock,
            ),
            confirmers=platform_fakes.NoOtherHosts(),
            time_source=self.clock,
            first_era=self.store.era,
        )
        renewal = lease_renewal.LeaseRenewal(
            keeper=self.keeper,
            store=self.store,
            confirmers=platform_fakes.NoOtherHosts(),
            time_source=self.clock,
        )
        self.opener = platform_fakes.FakeOpener(self.first, self.second)
        claim = await self.keeper.claim(TASK)
        self.owner = self.make_owner(typing.cast(claims.Claim, claim))
        self.running = [
            asyncio.ensure_future(self.owner.run()),
            asyncio.ensure_future(renewal.run()),
        ]
        self.assertTrue((await self.owner.execute(WRITE, LINK)).is_ok)

    async def asyncTearDown(self) -> None:
        for task in self.running:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def make_owner(self, claim: claims.Claim) -> primary.PrimaryOwner:
        """Return an owner that holds a claim."""
        return primary.PrimaryOwner(
            service=platform_fakes.SERVICE,
            claim=claim,
            keeper=self.keeper,
            broker_table=brokers.BrokerTable(
                opener=self.opener,
                current_deployment=lambda: deployment.EMPTY,
                time_source=self.clock,
            ),
            failover_coordinator=failover.FailoverCoordinator(
                servers=self.servers,
                opener=self.opener,
                promotions=self.promotions,
                current_deployment=lambda: deployment.EMPTY,
                drain_seconds=DRAIN_SECONDS,
                time_source=self.clock,
            ),
            time_source=self.clock,
        )

    async def drain_primary(self) -> None:
        """Let the primary take no new work, and the owner notice it."""
        self.servers.draining = 'first'
        await asyncio.sleep(primary.CHECK_INTERVAL_SECONDS * 1.5)
