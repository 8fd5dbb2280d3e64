"""Load pattern: a planned handover of a service under constant load."""

import asyncio
import contextlib
import time
import typing
from unittest import mock

from egretstep import clock, identifiers
from egretstep.backends import answers, commands, connection
from egretstep.membership import (
    claiming,
    claims,
    directory,
    leases,
    task_ranking,
)
from egretstep.pooling import brokers, local_host
from egretstep.pooling import work as work_module
from egretstep.replication import failover, primary
from egretstep.routing import dispatcher
from egretstep.settings import deployment
from tests import platform_fakes, virtual_time
from tests.replication import registered_servers

TASK = dispatcher.ownership_task(platform_fakes.SERVICE)
LINK = work_module.LinkId(1)
QUICK_SECONDS = 0.3
WRITE = work_module.Work(
    statement_id=b'id-1',
    command=commands.Command(action=commands.Action.WRITE, text=b'WRITE a 1'),
    workspace=platform_fakes.DEPOT,
    service=platform_fakes.SERVICE,
    timeout=1.5,
)


class _Owners:
    def __init__(self) -> None:
        self.arriving = False
        self.serving: primary.PrimaryOwner | None = None
        self.remaining = 0.0

    def owner(
        self,
        _service: deployment.ServiceName,
    ) -> primary.PrimaryOwner | None:
        return self.serving

    def is_handover_pending(self, _service: deployment.ServiceName) -> bool:
        return self.arriving

    def time_until_start(self, _service: deployment.ServiceName) -> float:
        return self.remaining


class HandOverTest(virtual_time.VirtualTimeTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.server = platform_fakes.FakeServer(
            name='first',
            role=connection.Role.PRIMARY,
        )
        self.clock = clock.MonotonicClock()
        self.hosts = directory.Directory(
            own=platform_fakes.host('own'),
            time_source=self.clock,
        )
        self.keeper = leases.LeaseKeeper(
            store=platform_fakes.FakeTables(),
            hosts=self.hosts,
            confirmers=platform_fakes.NoOtherHosts(),
            time_source=self.clock,
            first_era=1,
        )
        self.opener = platform_fakes.FakeOpener(self.server)
        self.table = brokers.BrokerTable(
            opener=self.opener,
            current_deployment=lambda: deployment.EMPTY,
            time_source=self.clock,
        )
        self.owners = _Owners()
        self.local = local_host.LocalHost(
            broker_table=self.table,
            servers=registered_servers.RegisteredServers(self.server),
            owners=self.owners,
            floors=lambda _service: None,
        )
        self.running: list[asyncio.Future[None]] = []

    async def asyncTearDown(self) -> None:
        for task in self.running:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def test_statements_wait_until_a_new_owner_finds_the_primary(
        self,
    ) -> None:
        owner = await self._owner()
        waiting = asyncio.ensure_future(owner.execute(WRITE, LINK))
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        self._run(owner.run())
        self.assertTrue((await waiting).is_ok)

    async def test_a_new_owner_that_finds_no_primary_refuses_soon(
        self,
    ) -> None:
        owner = await self._owner()
        started = time.monotonic()
        answer = await owner.execute(WRITE, LINK)
        self.assertIs(answer.code, answers.Code.OVERLOADED)
        self.assertLess(time.monotonic() - started, WRITE.timeout / 2)

    async def test_a_former_owner_redirects_waiting_statements(self) -> None:
        owner = await self._stopped_owner()
        waiting = asyncio.ensure_future(owner.execute(WRITE, LINK))
        await asyncio.sleep(0.05)
        started = time.monotonic()
        await self.keeper.hand_over(TASK, platform_fakes.host('next'))
        answer = await waiting
        self.assertIs(answer.code, answers.Code.MOVED)
        self.assertTrue(answer.has_no_effect)
        self.assertLess(time.monotonic() - started, QUICK_SECONDS)

    async def test_waiting_statements_are_redirected_without_a_successor(
        self,
    ) -> None:
        owner = await self._stopped_owner()
        waiting = asyncio.ensure_future(owner.execute(WRITE, LINK))
        await asyncio.sleep(0.05)
        owner.redirect_waiting()
        started = time.monotonic()
        self.assertIs((await waiting).code, answers.Code.MOVED)
        self.assertLess(time.monotonic() - started, QUICK_SECONDS)

    async def test_statements_wait_at_the_host_that_becomes_owner(
        self,
    ) -> None:
        self.owners.arriving = True
        waiting = asyncio.ensure_future(self.local.execute(WRITE, LINK))
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        owner = await self._owner()
        self._run(owner.run())
        self.owners.serving = owner
        self.owners.arriving = False
        self.assertTrue((await waiting).is_ok)

    async def test_a_host_that_will_not_own_redirects_at_once(self) -> None:
        answer = await self.local.execute(WRITE, LINK)
        self.assertIs(answer.code, answers.Code.MOVED)

    async def test_a_refusal_during_takeover_has_a_retry_time(self) -> None:
        self.owners.remaining = 0.9
        answer = await self.local.execute(WRITE, LINK)
        self.assertIs(answer.code, answers.Code.OVERLOADED)
        self.assertEqual(answer.retry_after_ms, 900)

    async def test_a_service_may_not_fill_the_host(self) -> None:
        self.owners.arriving = True
        with mock.patch.object(local_host, 'HELD_PER_SLOT', 1):
            waiting = [
                asyncio.ensure_future(self.local.execute(WRITE, LINK))
                for _ in range(self.server.backend().slots)
            ]
            await asyncio.sleep(0)
            answer = await self.local.execute(WRITE, LINK)
        self.assertIs(answer.code, answers.Code.OVERLOADED)
        self.assertGreater(answer.retry_after_ms, 0)
        self.owners.arriving = False
        for held in await asyncio.gather(*waiting):
            self.assertIs(held.code, answers.Code.MOVED)
        last = await self.local.execute(WRITE, LINK)
        self.assertIs(last.code, answers.Code.MOVED)
        self.assertEqual(dict(self.local._held), {})

    async def test_a_task_that_is_handed_over_is_claimed_at_once(self) -> None:
        started: list[claims.Claim] = []
        claimant = claiming.Claimant(
            keeper=self.keeper,
            hosts=self.hosts,
            prober=platform_fakes.NoOtherHosts(),
            wanted=lambda: [
                task_ranking.Task(
                    name=TASK, zone=identifiers.ZoneName('north')
                ),
            ],
            start=started.append,
            time_source=self.clock,
        )
        first = typing.cast(claims.Claim, await self.keeper.claim(TASK))
        self.keeper.mark_synced(era=1)
        with mock.patch.object(claiming, 'CHECK_INTERVAL_SECONDS', 5):
            self._run(claimant.run())
            await asyncio.sleep(0)
            await self.keeper.hand_over(TASK, self.hosts.own)
            await asyncio.sleep(QUICK_SECONDS)
        epochs = [each.epoch - first.epoch for each in started]
        self.assertEqual(epochs, [2])

    async def _stopped_owner(self) -> primary.PrimaryOwner:
        """Return an owner that has run a statement and was then stopped."""
        owner = await self._owner()
        self._run(owner.run())
        self.assertTrue((await owner.execute(WRITE, LINK)).is_ok)
        await owner.stop(longest_wait=0)
        return owner

    async def _owner(self) -> primary.PrimaryOwner:
        claim = await self.keeper.claim(TASK)
        return primary.PrimaryOwner(
            service=platform_fakes.SERVICE,
            claim=typing.cast(claims.Claim, claim),
            keeper=self.keeper,
            broker_table=self.table,
            failover_coordinator=failover.FailoverCoordinator(
                servers=registered_servers.RegisteredServers(self.server),
                opener=self.opener,
                promotions=mock.AsyncMock(),
                current_deployment=lambda: deployment.EMPTY,
                time_source=self.clock,
            ),
            time_source=self.clock,
        )

    def _run(self, running: typing.Coroutine[None, None, None]) -> None:
        self.running.append(asyncio.ensure_future(running))
