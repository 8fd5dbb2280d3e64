"""Guards against reads that go to a full, slow or failing server again.

Load pattern: 20 hosts send reads to two replicas and a primary. One server is
slow, fails, flaps, is lost or comes back, or a burst fills the primary.
"""

import asyncio
import dataclasses
import random
import unittest

from egretstep.backends import answers
from tests import virtual_time
from tests.routing import simulated_fleet

HOSTS = 20
READS_PER_SECOND = 100
CALM_READS_PER_SECOND = 50
SECONDS = 10.0
FAILURE_SHARE = 0.45
SHORT_LIMIT_SECONDS = 0.9


class ReadPlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.random = random.Random(7)

    def test_a_slow_replica_gets_few_reads(self) -> None:
        placed, slow = virtual_time.run(self._slow_replica(reports_load=True))
        chance, _ = virtual_time.run(self._slow_replica(reports_load=False))
        self.assertLess(slow.received, 0.05 * len(placed.answers))
        self.assertLess(placed.mean_seconds, 0.5 * chance.mean_seconds)

    def test_a_failing_replica_gets_few_reads(self) -> None:
        fleet, bad = virtual_time.run(self._bad_replica())
        self.assertLess(bad.received, 0.1 * len(fleet.answers))
        self.assertEqual(fleet.failed_count(), 0)

    def test_a_flapping_replica_gets_few_reads(self) -> None:
        fleet, bad = virtual_time.run(self._bad_replica(flaps=True))
        self.assertLess(bad.received, 0.1 * len(fleet.answers))
        self.assertEqual(fleet.failed_count(), 0)

    def test_all_servers_are_used_if_most_fail(self) -> None:
        servers = virtual_time.run(self._two_bad_replicas())
        total = sum(server.received for server in servers)
        for server in servers:
            self.assertGreater(server.received, 0.1 * total)

    def test_a_busy_primary_gives_reads_to_other_zones(self) -> None:
        calm_share, busy_share = virtual_time.run(self._burst_at_primary())
        self.assertGreater(calm_share, 0.95)
        self.assertLess(busy_share, 0.6)

    def test_hosts_do_not_move_to_a_returning_replica_together(self) -> None:
        servers = virtual_time.run(self._returning_replica(later_rate=400))
        returned = servers[1]
        self._check_equal_use(servers)
        self.assertLess(returned.most_held, 5 * returned.backend.slots)

    def test_a_returning_replica_is_used_in_calm(self) -> None:
        servers = virtual_time.run(self._returning_replica(later_rate=100))
        self._check_equal_use(servers)

    def _check_equal_use(
        self, servers: list[simulated_fleet.SimulatedServer]
    ) -> None:
        total = sum(server.received for server in servers)
        for server in servers:
            self.assertGreater(server.received, 0.25 * total)

    def test_a_planned_change_refuses_no_statement(self) -> None:
        for rate in (10, 1000):
            fleet = virtual_time.run(self._planned_change(rate))
            self.assertEqual(fleet.failed_count(), 0)

    def test_no_pause_ends_after_the_time_limit(self) -> None:
        """Guards against statements held until their limit, and sent then."""
        fleet = virtual_time.run(self._long_change())
        self.assertLess(max(fleet.seconds), SHORT_LIMIT_SECONDS)

    def test_the_loss_of_all_servers_does_not_multiply_attempts(self) -> None:
        fleet, servers = virtual_time.run(self._lost_servers())
        attempts = sum(server.received for server in servers)
        self.assertLess(attempts, 1.35 * len(fleet.answers))
        denied = [each for each in fleet.answers if each.retry_after_ms]
        self.assertGreater(len(denied), 0.5 * len(fleet.answers))

    def test_a_full_replica_leads_to_the_other_the_primary_last(self) -> None:
        servers, answer = virtual_time.run(self._refusing_replicas())
        self.assertTrue(answer.is_ok)
        self.assertEqual([server.received for server in servers], [1, 1, 1])

    def test_without_load_data_the_own_zone_is_chosen(self) -> None:
        for replica_zone, expected in (('south', 0), ('north', 1)):
            replicas_share = virtual_time.run(self._no_load_data(replica_zone))
            self.assertEqual(replicas_share, expected)

    async def _no_load_data(self, replica_zone: str) -> float:
        servers = self._servers(replica_zone=replica_zone, primary_zone='north')
        for server in servers:
            server.reports_load = False
        fleet = self._fleet(*servers, host_count=1)
        await fleet.send(simulated_fleet.READ, rate=10, seconds=SECONDS)
        received = sum(replica.received for replica in servers[:2])
        return received / len(fleet.answers)

    async def _slow_replica(
        self, *, reports_load: bool
    ) -> tuple[simulated_fleet.Fleet, simulated_fleet.SimulatedServer]:
        first, second, primary = self._servers()
        second.service_seconds *= 5
        for server in (first, second, primary):
            server.reports_load = reports_load
        fleet = self._fleet(first, second, primary)
        await self._send_reads(fleet)
        return fleet, second

    async def _bad_replica(
        self, *, flaps: bool = False
    ) -> tuple[simulated_fleet.Fleet, simulated_fleet.SimulatedServer]:
        servers = self._servers()
        bad = servers[1]
        bad.failure_share = FAILURE_SHARE
        fleet = self._fleet(*servers)
        sending = asyncio.ensure_future(self._send_reads(fleet))
        while not sending.done():
            await asyncio.sleep(1)
            if flaps:
                bad.failure_share = 0 if bad.failure_share else 1
        return fleet, bad

    async def _two_bad_replicas(self) -> list[simulated_fleet.SimulatedServer]:
        servers = self._servers()
        for replica in servers[:2]:
            replica.failure_share = FAILURE_SHARE
        await self._send_reads(self._fleet(*servers))
        return servers

    async def _burst_at_primary(self) -> tuple[float, float]:
        servers = self._servers(replica_zone='south', primary_zone='north')
        fleet = self._fleet(*servers)
        await self._send_reads(fleet, rate=CALM_READS_PER_SECOND)
        calm_share = servers[-1].received / len(fleet.answers)
        seen = sum(replica.received for replica in servers[:2])
        writers = self._fleet(*servers)
        calm_count = len(fleet.answers)
        await asyncio.gather(
            writers.send(simulated_fleet.WRITE, rate=260, seconds=SECONDS),
            self._send_reads(fleet, rate=CALM_READS_PER_SECOND),
        )
        moved = sum(replica.received for replica in servers[:2]) - seen
        return calm_share, 1 - moved / (len(fleet.answers) - calm_count)

    async def _returning_replica(
        self, *, later_rate: float
    ) -> list[simulated_fleet.SimulatedServer]:
        servers = self._servers()
        servers[1].loses_links = True
        fleet = self._fleet(*servers)
        await self._send_reads(fleet, rate=280)
        servers[1].loses_links = False
        for server in servers:
            server.received = 0
            server.most_held = 0
        await self._send_reads(fleet, rate=later_rate)
        return servers[:2]

    async def _planned_change(self, rate: int) -> simulated_fleet.Fleet:
        primary = self._server('primary', slots=60, is_primary=True)
        fleet = self._fleet(primary, host_count=1)
        await fleet.send(simulated_fleet.WRITE, rate=rate, seconds=SECONDS)
        fleet.moved_until = asyncio.get_running_loop().time() + 0.8
        await fleet.send(simulated_fleet.WRITE, rate=rate, seconds=2)
        return fleet

    async def _long_change(self) -> simulated_fleet.Fleet:
        primary = self._server('primary', is_primary=True)
        fleet = self._fleet(primary, host_count=1)
        fleet.moved_until = SECONDS * 2
        write = dataclasses.replace(
            simulated_fleet.WRITE, timeout=SHORT_LIMIT_SECONDS
        )
        await fleet.send(write, rate=100, seconds=SECONDS)
        return fleet

    async def _lost_servers(
        self,
    ) -> tuple[simulated_fleet.Fleet, list[simulated_fleet.SimulatedServer]]:
        servers = self._servers()
        for server in servers:
            server.refuses_with = answers.Code.ABORTED
        fleet = self._fleet(*servers, host_count=1)
        await self._send_reads(fleet, rate=500)
        return fleet, servers

    async def _refusing_replicas(
        self,
    ) -> tuple[list[simulated_fleet.SimulatedServer], answers.Answer]:
        servers = self._servers()
        for replica in servers[:2]:
            replica.refuses_with = answers.Code.OVERLOADED
        fleet = self._fleet(*servers, host_count=1)
        sent = await fleet.dispatchers[0].dispatch(simulated_fleet.READ)
        return servers, sent.answer

    async def _send_reads(
        self, fleet: simulated_fleet.Fleet, *, rate: float = READS_PER_SECOND
    ) -> None:
        read = dataclasses.replace(simulated_fleet.READ, target=0.25)
        await fleet.send(read, rate=rate, seconds=SECONDS)

    def _servers(
        self, *, replica_zone: str = 'north', primary_zone: str = 'south'
    ) -> list[simulated_fleet.SimulatedServer]:
        return [
            self._server('first', zone=replica_zone),
            self._server('second', zone=replica_zone),
            self._server('primary', zone=primary_zone, is_primary=True),
        ]

    def _server(self, name: str, **options) -> simulated_fleet.SimulatedServer:
        return simulated_fleet.SimulatedServer(name, rng=self.random, **options)

    def _fleet(self, *servers, host_count: int = HOSTS):
        return simulated_fleet.Fleet(
            *servers, host_count=host_count, rng=self.random
        )
