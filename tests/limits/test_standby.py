"""Guards against refusals while the counting host is lost.

Load pattern: 20 hosts lose the counting host for 5 s. All callers of a small
workspace are on three of them and send within its rate, at random times.
"""

import asyncio
import random
import unittest

from egretstep import identifiers
from egretstep.limits import grants, host_limiter, standby
from egretstep.settings import deployment
from tests import platform_fakes, virtual_time

HOSTS = tuple(identifiers.HostName(f'host-{index}') for index in range(20))
CALLERS_HOSTS = HOSTS[:3]
RATE = 20.0
SENT_RATE = RATE / 1.6
LOST_SECONDS = 5.0
CONTACT_SECONDS = 0.7
SEED = 6
# Each host alone may admit its fallback rate of the workspace.
MIN_ADMITTED_SHARE = 0.9


class StandbyTest(unittest.TestCase):
    def test_callers_within_the_rate_are_admitted(self) -> None:
        admitted, sent = virtual_time.run(_simulate(SENT_RATE, HOSTS))
        self.assertGreaterEqual(admitted, MIN_ADMITTED_SHARE * sent)

    def test_the_pool_stays_within_the_rate(self) -> None:
        admitted, _ = virtual_time.run(_simulate(10 * RATE, HOSTS))
        burst = max(standby.MIN_BURST, RATE * standby.BURST_SECONDS)
        self.assertLessEqual(admitted, RATE * LOST_SECONDS + burst)

    def test_hosts_that_do_not_call_contribute_nothing(self) -> None:
        """They may be with the counting host, which uses their shares."""
        calling = HOSTS[: len(HOSTS) // 4]
        admitted, _ = virtual_time.run(_simulate(10 * RATE, calling))
        burst = max(standby.MIN_BURST, RATE * standby.BURST_SECONDS)
        self.assertLessEqual(admitted, RATE / 4 * LOST_SECONDS + burst)


async def _simulate(
    rate: float, calling: tuple[identifiers.HostName, ...]
) -> tuple[int, int]:
    """Return how many operations were admitted and how many were sent."""
    limiter = _make_standby()
    contacts = asyncio.ensure_future(_keep_contact(limiter, calling))
    hosts = [_make_host(limiter, host) for host in CALLERS_HOSTS]
    generator = random.Random(SEED)
    sent = []
    for _ in range(int(rate * LOST_SECONDS)):
        host = generator.choice(hosts)
        sent.append(asyncio.ensure_future(host.admit(platform_fakes.DEPOT)))
        await asyncio.sleep(generator.expovariate(rate))
    waits = await asyncio.gather(*sent)
    contacts.cancel()
    return waits.count(None), len(waits)


async def _keep_contact(
    limiter: standby.StandbyRateLimiter,
    calling: tuple[identifiers.HostName, ...],
) -> None:
    while True:
        for host in calling:
            limiter.record_contact(host)
        await asyncio.sleep(CONTACT_SECONDS)


def _make_standby() -> standby.StandbyRateLimiter:
    depot = deployment.Workspace(
        name=platform_fakes.DEPOT, rate=RATE, burst=RATE
    )
    current = deployment.Deployment(
        version=identifiers.SettingsVersion(1),
        routes={},
        services={},
        workspaces={depot.name: depot},
        workspaces_by_key={},
    )
    return standby.StandbyRateLimiter(
        current_deployment=lambda: current,
        hosts=lambda: HOSTS,
        time_source=virtual_time.LoopClock(),
    )


def _make_host(
    limiter: standby.StandbyRateLimiter, host: identifiers.HostName
) -> host_limiter.HostRateLimiter:
    async def request(
        workspace: identifiers.WorkspaceName, wanted: int
    ) -> grants.Grant:
        return limiter.take(workspace, wanted, host)

    return host_limiter.HostRateLimiter(
        request_tokens=request,
        fallback_rate=lambda _workspace, _used: 0,
        time_source=virtual_time.LoopClock(),
    )
