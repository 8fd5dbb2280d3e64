"""Load patterns of rates: a workspace above its rate, hosts out of reach."""

import asyncio
import random
import time
import unittest

from egretstep import clock, identifiers
from egretstep.limits import bucket, grants
from egretstep.settings import deployment
from tests import platform_fakes

HOSTS = tuple(identifiers.HostName(f'host-{index}') for index in range(4))
RATE = 20
SEED = 4


class CounterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=100)
        self.depot = deployment.Workspace(
            name=platform_fakes.DEPOT,
            rate=RATE,
            burst=10,
        )
        self.counter = grants.Counter(
            current=lambda: deployment.Deployment(
                version=identifiers.SettingsVersion(1),
                routes={},
                services={},
                workspaces={self.depot.name: self.depot},
                workspaces_by_key={},
            ),
            hosts=lambda: HOSTS,
            time_source=self.clock,
            earning_since=bucket.ALWAYS,
        )

    def test_tokens_go_to_those_who_asked_first(self) -> None:
        """Ten times the rate from four hosts: none of them is left out."""
        got = dict.fromkeys(HOSTS, 0)
        for _ in range(200):
            for host in HOSTS:
                grant = self.counter.take(platform_fakes.DEPOT, 1, host)
                got[host] += grant.granted
                self.clock.advance(0.01)
        self.assertGreater(min(got.values()), sum(got.values()) / len(got) / 2)
        self.assertLessEqual(sum(got.values()), 10 + RATE * 8 + RATE / 2)

    def test_the_next_tokens_are_promised_in_order(self) -> None:
        self.counter.take(platform_fakes.DEPOT, 10, HOSTS[0])
        first = self.counter.take(platform_fakes.DEPOT, 1, HOSTS[0])
        second = self.counter.take(platform_fakes.DEPOT, 1, HOSTS[0])
        self.assertEqual((first.granted, second.granted), (1, 1))
        self.assertAlmostEqual(first.wait, 1 / RATE)
        self.assertAlmostEqual(second.wait, 2 / RATE)

    def test_what_can_not_be_had_soon_is_refused_with_a_time(self) -> None:
        for _ in range(30):
            grant = self.counter.take(platform_fakes.DEPOT, 10, HOSTS[0])
        self.assertEqual(grant.granted, 0)
        self.assertGreater(grant.retry_after, 0)

    def test_hosts_out_of_reach_go_on_with_what_they_used(self) -> None:
        """Two hosts are cut off; one of them had half of the callers."""
        for _ in range(60):
            self.counter.take(platform_fakes.DEPOT, 1, HOSTS[0])
            self.counter.take(platform_fakes.DEPOT, 1, HOSTS[1])
            self.clock.advance(0.1)
        for _ in range(25):
            for host in HOSTS[1:3]:
                self.counter.note_call(host)
            self.clock.advance(0.1)
        left = self.counter.counted_rate(self.depot)
        used_before = RATE / 2
        self.assertLess(left, RATE - used_before * 0.3)
        self.assertGreaterEqual(left, RATE / 4)

    def test_an_unknown_workspace_gets_nothing(self) -> None:
        grant = self.counter.take(platform_fakes.NURSES, 1, HOSTS[0])
        self.assertEqual(grant.granted, 0)

    def test_those_who_wait_together_are_promised_tokens_together(
        self,
    ) -> None:
        """After a restart of the counter many operations wait on a host."""
        self.counter.take(platform_fakes.DEPOT, 10, HOSTS[0])
        grant = self.counter.take(platform_fakes.DEPOT, 3, HOSTS[0])
        self.assertEqual(grant.granted, 3)
        self.assertAlmostEqual(grant.wait, 3 / RATE)


class AdmitterTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=100)
        self.grant: grants.Grant | None = grants.Grant(granted=1)
        self.asked: list[int] = []
        self.admitter = grants.Admitter(
            ask=self._ask,
            uncounted=self._uncounted,
            time_source=self.clock,
        )

    async def test_a_lot_serves_many_operations(self) -> None:
        self.grant = grants.Grant(granted=10)
        for _ in range(10):
            self.assertIsNone(await self.admitter.admit(platform_fakes.DEPOT))
        self.assertEqual(len(self.asked), 1)

    async def test_tokens_expire(self) -> None:
        self.grant = grants.Grant(granted=10)
        await self.admitter.admit(platform_fakes.DEPOT)
        self.clock.advance(grants.LOT_LIFETIME_SECONDS + 1)
        await self.admitter.admit(platform_fakes.DEPOT)
        self.assertEqual(len(self.asked), 2)

    async def test_above_the_rate_nobody_is_held(self) -> None:
        self.grant = grants.Grant(granted=0, retry_after=0.4)
        wait = await self.admitter.admit(platform_fakes.DEPOT)
        self.assertAlmostEqual(wait or 0, 0.4)
        for _ in range(50):
            self.assertIsNotNone(
                await self.admitter.admit(platform_fakes.DEPOT),
            )
        self.assertEqual(len(self.asked), 1)

    async def test_nobody_waits_for_long_behind_others(self) -> None:
        """More operations wait on a host than it gets tokens for."""
        self.grant = grants.Grant(granted=1, wait=0.15)
        admitter = grants.Admitter(
            ask=self._ask,
            uncounted=lambda _workspace, used: max(1, used),
            time_source=clock.MonotonicClock(),
        )
        started = time.monotonic()
        waits = await asyncio.gather(
            *(admitter.admit(platform_fakes.DEPOT) for _ in range(10))
        )
        self.assertLess(
            time.monotonic() - started,
            grants.LONGEST_ADMISSION_SECONDS * 2,
        )
        self.assertTrue(any(waits))

    async def test_while_nobody_counts_a_host_goes_on_as_before(self) -> None:
        """The counting host is lost; this one had 10 operations a second.

        They come at random, so that a bucket without headroom refuses many.
        """
        generator = random.Random(SEED)
        await self._admitted_of(30)
        self.grant = None
        admitted = 0
        for _ in range(100):
            pause = generator.expovariate(10)
            admitted += await self._admitted_of(1, pause=pause)
        self.assertGreater(admitted, 85)

    async def test_while_nobody_counts_no_host_takes_more_than_before(
        self,
    ) -> None:
        """A workspace sends many times its usual while nobody counts."""
        await self._admitted_of(100)
        self.grant = None
        admitted = await self._admitted_of(400, pause=0.01)
        self.assertLess(admitted, 10 * 4 * 1.3 + 5)

    async def _admitted_of(self, count: int, pause: float = 0.1) -> int:
        admitted = 0
        for _ in range(count):
            wait = await self.admitter.admit(platform_fakes.DEPOT)
            admitted += wait is None
            self.clock.advance(pause)
        return admitted

    def _uncounted(
        self,
        workspace: identifiers.WorkspaceName,
        used: float,
    ) -> float:
        settings = deployment.Workspace(name=workspace, rate=50, burst=50)
        return grants.uncounted_rate(settings, hosts=9, used=used)

    async def _ask(
        self,
        _workspace: identifiers.WorkspaceName,
        wanted: int,
    ) -> grants.Grant | None:
        self.asked.append(wanted)
        return self.grant
