"""A process starts while the store has an older configuration."""

import asyncio
import typing

from egretstep import identifiers
from egretstep.settings import startup_check
from tests import virtual_time
from tests.settings import test_configuration_follower


class StartupCheckTest(virtual_time.VirtualTimeTestCase):
    """A host that started after a restore accepted withdrawn keys again."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.follower = test_configuration_follower.make_follower()
        self.is_done = asyncio.Event()
        self.answers: dict[str, bytes | None] = {}
        check = startup_check.StartupCheck(
            follower=self.follower,
            choose_hosts=self._choose,
            ask=self._ask,
            is_done=self.is_done,
        )
        self.checking = asyncio.ensure_future(check.run())
        self.addCleanup(self.checking.cancel)

    async def test_the_latest_version_of_the_other_hosts_is_applied(
        self,
    ) -> None:
        self.answers = {'a': _content(7), 'b': b'', 'c': _content(9)}
        await self._start(version=5)
        self.assertTrue(self.is_done.is_set())
        self.assertEqual(self.follower.version, 9)
        self.assertEqual(self.follower.source, 'c')

    async def test_callers_wait_for_the_answers(self) -> None:
        self.answers = {'a': None}
        await self._start(version=5)
        self.assertFalse(self.is_done.is_set())
        await asyncio.sleep(startup_check.ANSWER_SECONDS)
        self.assertTrue(self.is_done.is_set())
        self.assertEqual(self.follower.version, 5)

    async def test_a_host_without_others_serves_at_once(self) -> None:
        await self._start(version=5)
        self.assertTrue(self.is_done.is_set())

    async def test_an_earlier_or_invalid_version_is_not_applied(self) -> None:
        self.answers = {'a': _content(4), 'b': b'{'}
        await self._start(version=5)
        self.assertTrue(self.is_done.is_set())
        self.assertEqual(self.follower.version, 5)

    async def _start(self, version: int) -> None:
        """Let the first configuration arrive from the store."""
        self.follower.offer(_content(version), source='the store')
        await asyncio.sleep(0.01)

    def _choose(self, count: int) -> list[identifiers.HostName]:
        names = [identifiers.HostName(name) for name in self.answers]
        return names[:count]

    async def _ask(
        self,
        host: identifiers.HostName,
        version: identifiers.SettingsVersion,
    ) -> bytes:
        answer = self.answers[host]
        if answer is None:
            await asyncio.Event().wait()
        return typing.cast(bytes, answer)


def _content(version: int) -> bytes:
    return test_configuration_follower.make_content(version)
