"""Starts one host for a test and checks that it stays within its bounds."""

import asyncio
import contextlib
import pathlib
import re
import typing
import unittest

from standins import platform_caller, platform_fleet
from tests.clients import crowd

KIB = 1024
MIB = 1024 * 1024
FIRST_PORT = 24100
ANSWER_TIMEOUT_SECONDS = 60.0
RETRY_INTERVAL_SECONDS = 0.1
SAMPLE_INTERVAL_SECONDS = 0.05
REQUESTS_PER_SECOND = 100_000
LIMITS = {'memory_mb': 200, 'max_fds': 1024}


class HostCase(unittest.IsolatedAsyncioTestCase):
    """One host and a session that was open before the crowd came."""

    fleet: platform_fleet.PlatformFleet
    most_descriptors: int

    @contextlib.asynccontextmanager
    async def host(
        self, limits: typing.Mapping[str, int]
    ) -> typing.AsyncGenerator[crowd.Crowd, None]:
        """Run a host; yields a crowd that has no connections yet.

        Checks at the end that the host stayed within its limits and answers
        an ordinary request, of a session opened before the crowd while the
        crowd is there, and of a new session after it.
        """
        async with platform_fleet.PlatformFleet(
            hosts=1,
            first_port=FIRST_PORT,
            rate=REQUESTS_PER_SECOND,
            limits=limits,
        ) as fleet:
            self.fleet = fleet
            self.most_descriptors = 0
            sampler = asyncio.ensure_future(self._sample_descriptors())
            early = await platform_caller.Caller.connect(self.fleet.port(0))
            async with crowd.Crowd(port=self.fleet.port(0)) as clients:
                yield clients
                self.check_bounds(limits)
                await self._await_answer(early)
            self.check_bounds(limits)
            await self._await_answer(None)
            self.check_bounds(limits)
            early.close()
            sampler.cancel()

    def check_bounds(self, limits: typing.Mapping[str, int]) -> None:
        """Check that the host runs, and its memory and descriptors."""
        self.assertIsNone(self.fleet.exit_code(0))
        self._count_descriptors()
        status = (self._process / 'status').read_text()
        kilobytes = {
            name: int(found)
            for name, found in re.findall(r'(VmHWM|VmRSS):\s+(\d+)', status)
        }
        seen = {
            'memory_mb': max(kilobytes.values()) * KIB // MIB,
            'max_fds': self.most_descriptors,
        }
        for name, bound in limits.items():
            with self.subTest(name):
                self.assertLessEqual(seen[name], bound)

    @property
    def _process(self) -> pathlib.Path:
        return pathlib.Path(f'/proc/{self.fleet.process_id(0)}')

    def _count_descriptors(self) -> None:
        count = len(list((self._process / 'fd').iterdir()))
        self.most_descriptors = max(self.most_descriptors, count)

    async def _sample_descriptors(self) -> None:
        while True:
            self._count_descriptors()
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)

    async def _await_answer(
        self, caller: platform_caller.Caller | None
    ) -> None:
        """Send an ordinary request until it is answered."""
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            while not await self._is_answered(caller):
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _is_answered(self, caller: platform_caller.Caller | None) -> bool:
        try:
            session = caller or await platform_caller.Caller.connect(
                self.fleet.port(0)
            )
            await session.run('WRITE frame 1')
        except platform_caller.AnswerError:
            return False
        if caller is None:
            session.close()
        return True
