"""Rate limits under overload and while hosts are unreachable."""

import asyncio
import random
import time
import unittest

from egretstep import clock, identifiers
from egretstep.limits import bucket, grants, host_limiter
from egretstep.settings import deployment
from tests import platform_fakes, virtual_time

HOSTS = tuple(identifiers.HostName(f'host-{index}') for index in range(4))
RATE = 20
SEED = 4


class FleetRateLimiterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=100)
        self.depot = deployment.Workspace(
            name=platform_fakes.DEPOT,
            rate=RATE,
            burst=10,
        )
        self.limiter = grants.FleetRateLimiter(
            current_deployment=lambda: deployment.Deployment(
                version=identifiers.SettingsVersion(1),
                routes={},
                services={},
                workspaces={self.depot.name: self.depot},
                workspaces_by_key={},
            ),
            hosts=lambda: HOSTS,
            time_source=self.clock,
            empty_at=bucket.LONG_AGO,
        )

    def test_hosts_share_the_rate_under_overload(self) -> None:
        """Four hosts request ten times the rate; each gets a fair share."""
        granted_by_host = dict.fromkeys(HOSTS, 0)
        for _ in range(200):
            for host in HOSTS:
                grant = self.limiter.take(platform_fakes.DEPOT, 1, host)
                granted_by_host[host] += grant.granted
                self.clock.advance(0.01)
        self.assertGreater(
            min(granted_by_host.values()),
            sum(granted_by_host.values()) / len(granted_by_host) / 2,
        )
        self.assertLessEqual(
            sum(granted_by_host.values()), 10 + RATE * 8 + RATE / 2
        )

    def test_tokens_are_reserved_in_order_of_requests(self) -> None:
        self.limiter.take(platform_fakes.DEPOT, 10, HOSTS[0])
        first = self.limiter.take(platform_fakes.DEPOT, 1, HOSTS[0])
        second = self.limiter.take(platform_fakes.DEPOT, 1, HOSTS[0])
        self.assertEqual((first.granted, second.granted), (1, 1))
        self.assertAlmostEqual(first.wait, 1 / RATE)
        self.assertAlmostEqual(second.wait, 2 / RATE)

    def test_refusal_names_a_retry_delay(self) -> None:
        for _ in range(30):
            grant = self.limiter.take(platform_fakes.DEPOT, 10, HOSTS[0])
        self.assertEqual(grant.granted, 0)
        self.assertGreater(grant.retry_after, 0)

    def test_rate_drops_while_hosts_are_unreachable(self) -> None:
        """Two hosts are unreachable; one of them had half of the callers."""
        for _ in range(60):
            self.limiter.take(platform_fakes.DEPOT, 1, HOSTS[0])
            self.limiter.take(platform_fakes.DEPOT, 1, HOSTS[1])
            self.clock.advance(0.1)
        for _ in range(25):
            for host in HOSTS[1:3]:
                self.limiter.record_contact(host)
            self.clock.advance(0.1)
        left = self.limiter.distributable_rate(self.depot)
        used_before = RATE / 2
        self.assertLess(left, RATE - used_before * 0.3)
        self.assertGreaterEqual(left, RATE / 4)

    def test_unknown_workspace_is_granted_nothing(self) -> None:
        grant = self.limiter.take(platform_fakes.NURSES, 1, HOSTS[0])
        self.assertEqual(grant.granted, 0)

    def test_one_request_reserves_several_tokens(
        self,
    ) -> None:
        """Many operations wait on a host after a restart of the counter."""
        self.limiter.take(platform_fakes.DEPOT, 10, HOSTS[0])
        grant = self.limiter.take(platform_fakes.DEPOT, 3, HOSTS[0])
        self.assertEqual(grant.granted, 3)
        self.assertAlmostEqual(grant.wait, 3 / RATE)


class HostRateLimiterTest(virtual_time.VirtualTimeTestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=100)
        self.grant: grants.Grant | None = grants.Grant(granted=1)
        self.requested: list[int] = []
        self.limiter = host_limiter.HostRateLimiter(
            request_tokens=self._request_tokens,
            fallback_rate=self._fallback_rate,
            time_source=self.clock,
        )

    async def test_one_batch_admits_many_operations(self) -> None:
        self.grant = grants.Grant(granted=10)
        for _ in range(10):
            self.assertIsNone(await self.limiter.admit(platform_fakes.DEPOT))
        self.assertEqual(len(self.requested), 1)

    async def test_unused_tokens_expire(self) -> None:
        self.grant = grants.Grant(granted=10)
        await self.limiter.admit(platform_fakes.DEPOT)
        self.clock.advance(host_limiter.BATCH_LIFETIME_SECONDS + 1)
        await self.limiter.admit(platform_fakes.DEPOT)
        self.assertEqual(len(self.requested), 2)

    async def test_operations_above_the_rate_are_refused_at_once(self) -> None:
        self.grant = grants.Grant(granted=0, retry_after=0.4)
        wait = await self.limiter.admit(platform_fakes.DEPOT)
        self.assertAlmostEqual(wait or 0, 0.4)
        for _ in range(50):
            self.assertIsNotNone(
                await self.limiter.admit(platform_fakes.DEPOT),
            )
        self.assertEqual(len(self.requested), 1)

    async def test_wait_for_tokens_is_bounded(self) -> None:
        """More operations wait on a host than it is granted tokens."""
        self.grant = grants.Grant(granted=1, wait=0.15)
        limiter = host_limiter.HostRateLimiter(
            request_tokens=self._request_tokens,
            fallback_rate=lambda _workspace, used: max(1, used),
            time_source=clock.MonotonicClock(),
        )
        started = time.monotonic()
        waits = await asyncio.gather(
            *(limiter.admit(platform_fakes.DEPOT) for _ in range(10))
        )
        self.assertLess(
            time.monotonic() - started,
            host_limiter.MAX_ADMISSION_SECONDS * 2,
        )
        self.assertTrue(any(waits))

    async def test_host_keeps_its_rate_without_a_counting_host(self) -> None:
        """A host that admitted 10 operations a second goes on doing so.

        There is no counting host any more. The operations arrive at random
        intervals; a bucket without headroom would refuse many of them.
        """
        generator = random.Random(SEED)
        await self._count_admitted(30)
        self.grant = None
        admitted = 0
        for _ in range(100):
            pause = generator.expovariate(10)
            admitted += await self._count_admitted(1, pause=pause)
        self.assertGreater(admitted, 85)

    async def test_host_is_limited_without_a_counting_host(
        self,
    ) -> None:
        """A workspace exceeds its usual rate without a counting host."""
        await self._count_admitted(100)
        self.grant = None
        admitted = await self._count_admitted(400, pause=0.01)
        self.assertLess(admitted, 10 * 4 * 1.3 + 5)

    async def _count_admitted(self, count: int, pause: float = 0.1) -> int:
        admitted = 0
        for _ in range(count):
            wait = await self.limiter.admit(platform_fakes.DEPOT)
            admitted += wait is None
            self.clock.advance(pause)
        return admitted

    def _fallback_rate(
        self,
        workspace: identifiers.WorkspaceName,
        used: float,
    ) -> float:
        settings = deployment.Workspace(name=workspace, rate=50, burst=50)
        return grants.fallback_rate(settings, hosts=9, used=used)

    async def _request_tokens(
        self,
        _workspace: identifiers.WorkspaceName,
        wanted: int,
    ) -> grants.Grant | None:
        self.requested.append(wanted)
        return self.grant
