"""Calls to the other hosts, some of which do not answer."""

import asyncio
import typing
import unittest
import unittest.mock

from egretstep import clock, errors, identifiers
from egretstep.membership import directory, fleet_links
from egretstep.settings import node
from egretstep.storage import tables
from tests import platform_fakes

HOSTS = [identifiers.HostName(f'host-{number}') for number in range(5)]


def make_host(name: str) -> directory.Host:
    return directory.Host(
        host=identifiers.HostName(name),
        zone=identifiers.ZoneName('a'),
        address=node.Address(host='127.0.0.1', port=1),
        boot=1,
        processor=1,
    )


class _Link:
    """A link to a host that fails all calls while `is_gone`."""

    def __init__(self) -> None:
        self.is_gone = True
        self.calls = 0

    async def call(self, _call: typing.Any, **_options: typing.Any) -> None:
        self.calls += 1
        if self.is_gone:
            raise errors.LinkError('gone')


class GoneHostTest(unittest.IsolatedAsyncioTestCase):
    """A host is lost for good, but its row stays in the store.

    Without background probes one call would fail each time that the suspicion
    of the host ends.
    """

    def setUp(self) -> None:
        self.link = _Link()
        self.hosts = directory.Directory(
            own=make_host(HOSTS[0]),
            time_source=clock.MonotonicClock(),
        )
        other = make_host(HOSTS[1])
        key = directory.PREFIX + other.host
        self.hosts.update({
            key: tables.Row(
                key=key,
                version=platform_fakes.version(1),
                content=directory.encode(other),
            ),
        })
        self.links = fleet_links.FleetLinks(
            hosts=self.hosts,
            time_source=clock.MonotonicClock(),
        )
        self.links._link = lambda _host: self.link

    async def _call_repeatedly(self, seconds: float) -> int:
        """Call the host whenever it is usable; return the failed calls."""
        loop = asyncio.get_running_loop()
        failed = 0
        end = loop.time() + seconds
        while loop.time() < end:
            if self.hosts.is_usable(HOSTS[1]):
                try:
                    await self.links.call(HOSTS[1], lambda remote: remote)
                except errors.LinkError:
                    failed += 1
            await asyncio.sleep(0.005)
        return failed

    async def test_only_one_call_to_a_lost_host_fails(self) -> None:
        with unittest.mock.patch.object(directory, 'SUSPECT_SECONDS', 0.1):
            self.assertEqual(await self._call_repeatedly(1), 1)

    async def test_a_host_that_answers_again_is_used_again(self) -> None:
        with unittest.mock.patch.object(directory, 'SUSPECT_SECONDS', 0.1):
            await self._call_repeatedly(0.05)
            self.link.is_gone = False
            await asyncio.sleep(0.2)
            self.assertTrue(self.hosts.is_usable(HOSTS[1]))

    async def test_a_host_whose_link_was_lost_is_used_at_once(self) -> None:
        """Its callers were refused for a second after each silent link."""
        with self.assertRaises(errors.LinkLostError):
            await self._lose_link()
        await asyncio.sleep(0.05)
        self.assertTrue(self.hosts.is_usable(HOSTS[1]))

    async def test_a_silent_link_is_replaced_before_the_host_is_avoided(
        self,
    ) -> None:
        """The first heartbeat goes over the silent link as well."""
        with self.assertRaises(errors.LinkLostError):
            await self._lose_link(lost_calls=2)
        await asyncio.sleep(0.05)
        self.assertTrue(self.hosts.is_usable(HOSTS[1]))

    async def _lose_link(self, lost_calls: int = 1) -> None:
        lost = [errors.LinkLostError('silent')] * lost_calls
        self.link = unittest.mock.AsyncMock()
        self.link.call.side_effect = [*lost, None]
        await self.links.call(HOSTS[1], lambda remote: remote)

    async def test_the_pause_between_probes_grows(self) -> None:
        with unittest.mock.patch.object(directory, 'SUSPECT_SECONDS', 0.02):
            await self._call_repeatedly(1)
        self.assertLess(self.link.calls, 8)
