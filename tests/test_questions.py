"""Load pattern: a host is cut off from all others; its callers stay."""

import unittest

from egretstep import clock, identifiers
from egretstep.membership import claims, directory
from egretstep.programs import questions, tasks
from egretstep.settings import deployment
from tests import platform_fakes


class _Peers:
    def __init__(self) -> None:
        self.reached: set[str] = set()

    async def reaches(self, host: identifiers.HostName) -> bool:
        return host in self.reached


class _Keeper:
    def __init__(self, holder: str) -> None:
        claim = claims.Claim(
            task=tasks.COUNTING,
            host=identifiers.HostName(holder),
            boot=1,
            epoch=1,
        )
        self.known = {claim.task: claim}


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
        self.questions = questions.Questions(
            hosts=hosts,
            keeper=_Keeper('a'),
            peers=self.peers,
            fleet_tasks=None,
            current=lambda: deployment.EMPTY,
            time_source=clock.ManualClock(),
        )

    async def test_a_host_that_reaches_nobody_is_isolated(self) -> None:
        self.assertTrue(await self.questions._reaches_nobody())

    async def test_one_lost_holder_does_not_isolate(self) -> None:
        self.peers.reached = {'b', 'c', 'd'}
        self.assertFalse(await self.questions._reaches_nobody())
