"""Tests which server is primary, and when its replacement ends."""

import asyncio

from egretstep import clock, identifiers
from egretstep.backends import answers, connection
from egretstep.replication import failover
from egretstep.settings import deployment
from tests import platform_fakes, virtual_time
from tests.replication import registered_servers


class _Promotions:
    def __init__(self, servers: dict[str, platform_fakes.FakeServer]) -> None:
        self._servers = servers
        self.promotes_at_once = True
        self.requests: list[tuple[str, int]] = []

    async def promote(
        self,
        *,
        service: deployment.ServiceName,
        server: connection.ServerId,
        epoch: int,
    ) -> None:
        self.requests.append((server, epoch))
        if self.promotes_at_once:
            promoted = self._servers[server]
            promoted.role = connection.Role.PRIMARY
            promoted.term += 1


class FailoverTest(virtual_time.VirtualTimeTestCase):
    def setUp(self) -> None:
        self.first = platform_fakes.FakeServer(
            name='first',
            role=connection.Role.PRIMARY,
        )
        self.second = platform_fakes.FakeServer(name='second')
        self.third = platform_fakes.FakeServer(name='third')
        opener = platform_fakes.FakeOpener(self.first, self.second, self.third)
        self.promotions = _Promotions(opener.servers)
        self.recorded: list[str] = []
        self.is_owner = True
        self.failover = failover.FailoverCoordinator(
            servers=registered_servers.RegisteredServers(
                self.first, self.second, self.third
            ),
            opener=opener,
            promotions=self.promotions,
            time_source=clock.MonotonicClock(),
        )

    async def test_a_server_that_refuses_is_alive(self) -> None:
        self.first.refuses_with = answers.Code.TOO_MANY_CONNECTIONS
        liveness = await self.failover.check_liveness(self.first.backend())
        self.assertTrue(liveness.is_alive)

    async def test_a_server_that_is_down_is_not_alive(self) -> None:
        self.first.is_down = True
        liveness = await self.failover.check_liveness(self.first.backend())
        self.assertFalse(liveness.is_alive)

    async def test_the_most_advanced_server_is_promoted_and_recorded(
        self,
    ) -> None:
        self.third.position = identifiers.LogPosition(1, 9)
        found = await self._replace()
        self.assertEqual(self.promotions.requests, [('third', 4)])
        self.assertEqual(self.recorded, ['third'])
        self.assertEqual(found and found.server.server, 'third')

    async def test_no_promotion_is_requested_without_the_lease(self) -> None:
        """The host is cut off during its queries and another takes over."""
        self.is_owner = False
        self.assertIsNone(await self._replace())
        self.assertEqual(self.promotions.requests, [])

    async def test_leading_an_old_term_does_not_count_as_promoted(self) -> None:
        """The promoted server was primary before and reports its old term."""
        self.second.role = connection.Role.PRIMARY
        self.third.term = 3
        self.promotions.promotes_at_once = False
        original_limit = failover.MAX_PROMOTION_SECONDS
        failover.MAX_PROMOTION_SECONDS = 0.2
        try:
            self.assertIsNone(await self._replace())
        finally:
            failover.MAX_PROMOTION_SECONDS = original_limit

    async def test_the_first_replacement_is_expected_within_timeouts(
        self,
    ) -> None:
        """The statements' timeouts are 0.6 to 0.8 s."""
        self.failover.start_timer()
        self.assertLess(self.failover.expected_seconds(), 0.6)
        await asyncio.sleep(0.2)
        self.assertLess(self.failover.expected_seconds(), 0.4)

    async def test_the_next_replacement_is_expected_to_take_as_long(
        self,
    ) -> None:
        self.failover.start_timer()
        await self._replace()
        self.failover.start_timer()
        self.assertLess(self.failover.expected_seconds(), 0.5)

    async def test_the_latest_term_leads(self) -> None:
        self.second.role = connection.Role.PRIMARY
        self.second.term = 2
        found = await self._find('')
        self.assertEqual(found and found.server.server, 'second')

    async def test_another_primary_is_not_used_if_the_recorded_one_is_down(
        self,
    ) -> None:
        self.second.is_down = True
        self.assertIsNone(await self._find('second'))

    async def _replace(self) -> failover.Candidate | None:
        return await self.failover.replace(
            platform_fakes.SERVICE,
            self.first.backend(),
            epoch=4,
            known=None,
            record=self._record,
            is_owner=lambda: self.is_owner,
        )

    async def _find(self, recorded: str) -> failover.Candidate | None:
        return await self.failover.find_primary(
            platform_fakes.SERVICE,
            connection.ServerId(recorded),
        )

    async def _record(self, server: connection.ServerId) -> None:
        self.recorded.append(server)
