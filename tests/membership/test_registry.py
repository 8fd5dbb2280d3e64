import dataclasses
import typing
import unittest

from egretstep import clock, identifiers
from egretstep.backends import connection
from egretstep.membership import registry
from egretstep.settings import deployment
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

    def test_servers_of_a_service_follow_each_change(self) -> None:
        service = self.server.service
        self.assertEqual(self.registry.of_service(service), [self.server])
        draining = dataclasses.replace(self.server, is_draining=True)
        self.registry.update({draining.server: draining})
        self.assertEqual(self.registry.of_service(service), [draining])
        self.registry.update({})
        self.clock.advance(registry.MISSING_ENTRY_SECONDS + 0.1)
        self.assertEqual(self.registry.of_service(service), [])

    def test_services_that_are_only_asked_for_are_not_kept(self) -> None:
        """Guards against a scan of all servers, and a list, for each."""
        for number in range(10):
            name = deployment.ServiceName(f'service-{number}')
            self.assertEqual(self.registry.of_service(name), [])
        self.assertLessEqual(len(self.registry._by_service), 1)

    def test_draining_servers_and_zones_that_are_out_take_no_work(self) -> None:
        self.assertTrue(self.registry.takes_work(self.server))
        draining = dataclasses.replace(self.server, is_draining=True)
        self.assertFalse(self.registry.takes_work(draining))
        self.registry.update_zones_out(frozenset((self.server.zone,)))
        self.assertFalse(self.registry.takes_work(self.server))
        other = identifiers.ZoneName('elsewhere')
        self.registry.update_zones_out(frozenset((other,)))
        self.assertTrue(self.registry.takes_work(self.server))

    def test_the_time_without_new_work_begins_once(self) -> None:
        """The server must not get a new limit when it becomes primary."""
        self.assertIsNone(self.registry.no_work_since(self.server))
        self.registry.update_zones_out(frozenset((self.server.zone,)))
        self.clock.advance(3)
        self._register(sequence=7)
        self.assertEqual(self.registry.no_work_since(self.server), 100)
        self.registry.update_zones_out(frozenset())
        self.assertIsNone(self.registry.no_work_since(self.server))

    def test_an_older_entry_does_not_end_draining(self) -> None:
        """A restored store shows the server as ready again."""
        draining = dataclasses.replace(
            self.server, is_draining=True, sequence=7
        )
        self.registry.update({draining.server: draining})
        self._register(sequence=6)
        self.assertEqual(self._known(), [draining])
        self._register(sequence=8)
        self.assertFalse(self._known()[0].is_draining)

    def test_an_older_entry_does_not_bring_back_a_server(self) -> None:
        """A restored store shows a server that has left."""
        self._register(sequence=7)
        self._remove()
        self._register(sequence=7)
        self.assertEqual(self._known(), [])
        self._register(sequence=8)
        self.assertEqual(len(self._known()), 1)

    def test_an_odd_sequence_does_not_hide_later_entries(self) -> None:
        """Within an era, the store tells which of two entries is later."""
        self._register(sequence=2**60, version=platform_fakes.version(1))
        self._register(
            sequence=8, version=platform_fakes.version(2), is_draining=True
        )
        self.assertTrue(self._known()[0].is_draining)

    def test_a_restarted_server_counts_its_entries_anew(self) -> None:
        self._register(sequence=7)
        for started_ms in (5, 3):
            self._remove()
            self._register(sequence=1, started_ms=started_ms)
            self.assertEqual(self._known()[0].started_ms, started_ms)

    def _register(self, **changed: typing.Any) -> None:
        entry = dataclasses.replace(self.server, **changed)
        self.registry.update({entry.server: entry})

    def _remove(self) -> None:
        self.registry.update({})
        self.clock.advance(registry.MISSING_ENTRY_SECONDS + 0.1)
        self.assertEqual(self._known(), [])

    def _known(self) -> list[connection.BackendServer]:
        return list(self.registry.of_service(platform_fakes.SERVICE))
