import dataclasses
import unittest

from egretstep import clock, identifiers
from egretstep.membership import registry
from tests import platform_fakes


class RegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=100)
        self.registry = registry.ServerRegistry(time_source=self.clock)
        self.server = platform_fakes.FakeServer(name='server-1').backend()
        self.registry.update({self.server.server: self.server})

    def test_an_entry_that_returns_in_time_is_kept(
        self,
    ) -> None:
        self.registry.update({})
        self.clock.advance(registry.MISSING_ENTRY_SECONDS - 0.1)
        self.assertEqual(self._known(), [self.server])
        self.registry.update({self.server.server: self.server})
        self.clock.advance(registry.MISSING_ENTRY_SECONDS + 1)
        self.assertEqual(self._known(), [self.server])

    def test_an_entry_that_stays_missing_is_removed(self) -> None:
        self.registry.update({})
        self.clock.advance(registry.MISSING_ENTRY_SECONDS + 0.1)
        self.assertEqual(self._known(), [])

    def test_draining_servers_and_zones_that_are_out_take_no_work(self) -> None:
        self.assertTrue(self.registry.takes_work(self.server))
        draining = dataclasses.replace(self.server, is_draining=True)
        self.assertFalse(self.registry.takes_work(draining))
        self.registry.update_zones_out(frozenset((self.server.zone,)))
        self.assertFalse(self.registry.takes_work(self.server))
        other = identifiers.ZoneName('elsewhere')
        self.registry.update_zones_out(frozenset((other,)))
        self.assertTrue(self.registry.takes_work(self.server))

    def _known(self) -> list[object]:
        return list(self.registry.of_service(platform_fakes.SERVICE))
