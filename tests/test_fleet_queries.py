"""Failures of the hosts that another host queries.

A host that reaches no other one must notice its isolation, as its callers stay
connected. One failed holder of a task must not count as isolation, and
requests must not wait again for a counting host that failed to answer.
"""

import asyncio
import contextlib
import unittest
import unittest.mock

from egretstep import clock, errors, identifiers
from egretstep.limits import standby
from egretstep.membership import claims, directory
from egretstep.programs import fleet_queries, tasks
from egretstep.settings import deployment
from tests import platform_fakes


class _Peers:
    def __init__(self) -> None:
        self.reached: set[str] = set()
        self.called: list[str] = []
        self.without_lease: set[str] = set()

    async def call(
        self,
        host: identifiers.HostName,
        _call: object,
        **_options: object,
    ) -> unittest.mock.Mock:
        self.called.append(host)
        if host in self.without_lease:
            return unittest.mock.Mock(serving=False)
        raise errors.LinkError(f'{host} does not answer')

    async def reaches(self, host: identifiers.HostName) -> bool:
        return host in self.reached


class _Keeper:
    def __init__(self) -> None:
        self.known: dict[claims.TaskName, claims.Claim] = {}

    def hold(self, holder: str, epoch: int) -> None:
        self.known[tasks.COUNTING_TASK] = claims.Claim(
            task=tasks.COUNTING_TASK,
            host=identifiers.HostName(holder),
            boot=1,
            epoch=epoch,
        )


class IsolationTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        hosts = directory.Directory(
            own=platform_fakes.host('own'),
            time_source=clock.ManualClock(),
        )
        hosts._hosts.update({
            name: platform_fakes.host(name) for name in ('a', 'b', 'c', 'd')
        })
        self.peers = _Peers()
        self.keeper = _Keeper()
        self.keeper.hold('a', 1)
        self.standby = standby.StandbyRateLimiter(
            current_deployment=lambda: deployment.EMPTY,
            hosts=hosts.up_host_names,
            time_source=clock.ManualClock(),
        )
        self.tasks = unittest.mock.Mock(standby=self.standby, is_counting=False)
        self.queries = fleet_queries.FleetQueries(
            hosts=hosts,
            keeper=self.keeper,
            peers=self.peers,
            fleet_tasks=self.tasks,
            current_deployment=lambda: deployment.EMPTY,
            time_source=clock.ManualClock(),
        )

    async def test_a_host_that_reaches_nobody_is_isolated(self) -> None:
        self.assertTrue(await self.queries._reaches_no_host())

    async def test_the_counting_host_adds_no_share_to_the_pool(self) -> None:
        """Guards against a share that it and the standby both grant."""
        self.keeper.hold('own', 1)
        self.tasks.is_counting = True
        await self._contact_once()
        self.assertEqual(self.peers.called, [])
        self.tasks.is_counting = False
        await self._contact_once()
        self.assertEqual(self.peers.called, [self.queries._standby_host()])

    async def test_a_counting_host_without_its_lease_gets_no_share(
        self,
    ) -> None:
        """Guards against shares that are unused because it answers."""
        self.peers.without_lease = {'a'}
        await self._contact_once()
        self.assertEqual(self.peers.called, ['a', self.queries._standby_host()])
        self.assertFalse(self.queries.is_isolated)

    async def _contact_once(self) -> None:
        pauses = unittest.mock.AsyncMock(
            side_effect=[None, asyncio.CancelledError]
        )
        with (
            unittest.mock.patch.object(asyncio, 'sleep', pauses),
            contextlib.suppress(asyncio.CancelledError),
        ):
            await self.queries.maintain_contact()

    async def test_one_lost_holder_does_not_isolate(self) -> None:
        self.peers.reached = {'b', 'c', 'd'}
        self.assertFalse(await self.queries._reaches_no_host())

    async def test_callers_do_not_wait_for_a_silent_counting_host(
        self,
    ) -> None:
        """Only the first of several requests calls a failed counting host.

        Only that one calls the standby, which fails as well.
        """
        standby_host = self.queries._standby_host()
        for _ in range(5):
            grant = await self.queries.request_tokens(platform_fakes.DEPOT, 1)
            self.assertIsNone(grant)
        self.assertEqual(self.peers.called, ['a', standby_host])
        self.keeper.hold('b', 2)
        await self.queries.request_tokens(platform_fakes.DEPOT, 1)
        self.assertEqual(self.peers.called, ['a', standby_host, 'b'])
