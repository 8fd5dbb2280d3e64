"""Tests which server is primary, and when its replacement ends."""

import asyncio
import dataclasses
import typing

from egretstep import clock, identifiers
from egretstep.backends import answers, connection
from egretstep.replication import (
    candidates,
    failover,
    primary_record,
    successor_choice,
)
from egretstep.settings import deployment
from tests import platform_fakes, virtual_time
from tests.replication import registered_servers

TERM = identifiers.Term(1)
REMAINING_LEASE = 0.3


class _Promotions:
    def __init__(self, servers: dict[str, platform_fakes.FakeServer]) -> None:
        self._servers = servers
        self.promotes_at_once = True
        self.requests: list[tuple[str, int]] = []
        self.timeouts: list[float] = []

    async def promote(
        self,
        *,
        service: deployment.ServiceName,
        server: connection.ServerId,
        epoch: int,
        timeout: float,
    ) -> None:
        self.requests.append((server, epoch))
        self.timeouts.append(timeout)
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
        self.deployment = deployment.EMPTY
        self.recorded: list[str] = []
        self.is_owner = True
        self.is_saved = True
        self.servers = registered_servers.RegisteredServers(
            self.first, self.second, self.third
        )
        self.failover = failover.FailoverCoordinator(
            servers=self.servers,
            opener=opener,
            promotions=self.promotions,
            current_deployment=lambda: self.deployment,
            time_source=clock.MonotonicClock(),
        )

    async def test_a_server_that_refuses_is_alive(self) -> None:
        self.first.refuses_with = answers.Code.TOO_MANY_CONNECTIONS
        liveness = await self.failover.probe.check_liveness(
            self.first.backend()
        )
        self.assertTrue(liveness.is_alive)

    async def test_a_server_that_is_down_is_not_alive(self) -> None:
        self.first.is_down = True
        liveness = await self.failover.probe.check_liveness(
            self.first.backend()
        )
        self.assertFalse(liveness.is_alive)

    async def test_the_most_advanced_server_is_promoted_and_recorded(
        self,
    ) -> None:
        self.third.position = identifiers.LogPosition(1, 9)
        found = await self._replace()
        self.assertEqual(self.promotions.requests, [('third', 4)])
        self.assertEqual(self.recorded, ['third'])
        self.assertEqual(found and found.server.server, 'third')

    async def test_a_draining_server_that_has_all_commits_is_promoted(
        self,
    ) -> None:
        """The other one, which takes work, lacks acknowledged commits."""
        self.servers.draining = 'second'
        self.second.position = identifiers.LogPosition(1, 9)
        await self._replace(acknowledged=identifiers.LogPosition(1, 9))
        self.assertEqual(self.promotions.requests, [('second', 4)])

    async def test_a_server_that_takes_work_is_preferred_if_complete(
        self,
    ) -> None:
        self.servers.draining = 'second'
        self.second.position = identifiers.LogPosition(1, 9)
        self.third.position = identifiers.LogPosition(1, 8)
        await self._replace(acknowledged=identifiers.LogPosition(1, 8))
        self.assertEqual(self.promotions.requests, [('third', 4)])

    async def test_none_is_promoted_without_proof_of_every_commit(
        self,
    ) -> None:
        """A synchronous replica that gives no answer may have more."""
        self._require_sync_replica()
        self.second.is_down = True
        self.assertIsNone(await self._replace())
        self.assertEqual(self.promotions.requests, [])

    async def test_none_is_promoted_that_lacks_acknowledged_commits(
        self,
    ) -> None:
        self._require_sync_replica()
        self.second.is_down = True
        replaced = await self._replace(
            acknowledged=identifiers.LogPosition(1, 6)
        )
        self.assertIsNone(replaced)
        self.assertEqual(self.promotions.requests, [])

    async def test_the_answers_of_all_replicas_are_a_proof(self) -> None:
        self._require_sync_replica()
        self.third.position = identifiers.LogPosition(1, 9)
        await self._replace()
        self.assertEqual(self.promotions.requests, [('third', 4)])

    async def test_a_commit_that_no_replica_has_was_not_acknowledged(
        self,
    ) -> None:
        """The former primary reported the end of its log, which is further."""
        self._require_sync_replica()
        await self._replace(acknowledged=identifiers.LogPosition(1, 6))
        self.assertEqual(len(self.promotions.requests), 1)

    async def test_a_recorded_primary_that_has_left_counts_as_unknown(
        self,
    ) -> None:
        self._require_sync_replica()
        self.second.is_down = True
        replaced = await self._replace(
            former=None,
            record=primary_record.PrimaryRecord(
                server=connection.ServerId('gone')
            ),
        )
        self.assertIsNone(replaced)

    async def test_a_server_that_answers_late_is_asked_again(self) -> None:
        """Without synchronous replicas too, its commits are kept."""
        self.third.position = identifiers.LogPosition(1, 9)
        self.third.is_down = True
        asyncio.get_running_loop().call_later(0.2, self._bring_back, self.third)
        await self._replace(acknowledged=identifiers.LogPosition(1, 9))
        self.assertEqual(self.promotions.requests, [('third', 4)])

    async def test_a_change_waits_for_a_server_that_has_caught_up(
        self,
    ) -> None:
        change = {
            'acknowledged': identifiers.LogPosition(1, 9),
            'may_postpone': True,
        }
        with self.assertRaises(successor_choice.ChangePostponedError):
            await self._replace(**change)
        self.assertEqual(self.promotions.requests, [])
        self.third.position = identifiers.LogPosition(1, 9)
        await self._replace(**change)
        self.assertEqual(self.promotions.requests, [('third', 4)])

    async def test_no_promotion_is_requested_without_the_lease(self) -> None:
        """The host is cut off during its queries and another takes over."""
        self.is_owner = False
        self.assertIsNone(await self._replace())
        self.assertEqual(self.promotions.requests, [])

    async def test_an_order_goes_out_while_the_lease_holds(self) -> None:
        """Guards against an order that is sent after the lease has ended.

        Connecting to the platform may take longer than the lease holds.
        """
        await self._replace()
        self.assertEqual(self.promotions.timeouts, [REMAINING_LEASE])

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

    async def test_a_server_that_leads_already_is_not_ordered(self) -> None:
        """An order would change nothing, and its effect be waited for."""
        self.third.role = connection.Role.PRIMARY
        self.third.term = 2
        self.third.position = identifiers.LogPosition(2, 9)
        found = await self._replace(
            former=None,
            record=primary_record.PrimaryRecord(
                server=connection.ServerId('gone'), term=identifiers.Term(1)
            ),
        )
        self.assertEqual(found and found.server.server, 'third')
        self.assertEqual(self.promotions.requests, [])

    async def test_a_restarted_server_is_asked_again_whether_it_leads(
        self,
    ) -> None:
        """Guards against taking its registration for one that was checked."""
        self.third.role = connection.Role.PRIMARY
        first = self.first.backend()
        self.assertFalse(await self.failover.is_superseded(first, TERM))
        self.third.started_ms = 7
        self.third.term = TERM + 1
        self.assertTrue(await self.failover.is_superseded(first, TERM))

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

    async def _replace(
        self, **changed: typing.Any
    ) -> candidates.Candidate | None:
        change = successor_choice.Change(
            service=platform_fakes.SERVICE,
            former=self.first.backend(),
            record=primary_record.PrimaryRecord(
                server=connection.ServerId('first')
            ),
            epoch=4,
            acknowledged=None,
        )
        return await self.failover.replace(
            dataclasses.replace(change, **changed),
            save=self._save,
            remaining_lease=lambda: REMAINING_LEASE * self.is_owner,
        )

    async def _find(self, recorded: str) -> candidates.Candidate | None:
        return await self.failover.find_primary(
            platform_fakes.SERVICE,
            primary_record.PrimaryRecord(server=connection.ServerId(recorded)),
        )

    def _require_sync_replica(self) -> None:
        service = deployment.Service(
            name=platform_fakes.SERVICE, connection_limit=9, sync_replicas=1
        )
        self.deployment = dataclasses.replace(
            deployment.EMPTY, services={service.name: service}
        )

    def _bring_back(self, server: platform_fakes.FakeServer) -> None:
        server.is_down = False

    async def _save(self, record: primary_record.PrimaryRecord) -> bool:
        self.recorded.append(record.server)
        return self.is_saved
