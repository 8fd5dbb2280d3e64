"""Choice of the relay when many hosts of a zone follow the same tables."""

import typing
import unittest

from egretstep import clock, identifiers
from egretstep.membership import directory, relays
from egretstep.settings import node
from egretstep.storage import tables
from tests import platform_fakes


def make_directory(sizes: dict[str, int], own: str) -> directory.Directory:
    hosts = [
        directory.Host(
            host=identifiers.HostName(f'{zone}-{number}'),
            zone=identifiers.ZoneName(zone),
            address=node.Address(host='10.1.0.1', port=7000),
            boot=1,
            processor=2.0 if number == 5 else 0.5,
        )
        for zone, size in sizes.items()
        for number in range(size)
    ]
    rows = {
        directory.PREFIX + host.host: tables.Row(
            key=directory.PREFIX + host.host,
            content=directory.encode(host),
            version=platform_fakes.version(1),
        )
        for host in hosts
    }
    known = directory.Directory(
        own=next(host for host in hosts if host.host == own),
        time_source=clock.ManualClock(),
    )
    known.update(rows)
    return known


class RelayChoiceTest(unittest.TestCase):
    def _choice(
        self,
        sizes: dict[str, int],
        own: str,
    ) -> relays.RelayChoice:
        return relays.RelayChoice(
            hosts=make_directory(sizes, own),
            poll_timeout=1.0,
            time_source=clock.ManualClock(),
        )

    def test_one_host_of_a_large_zone_asks_the_store(self) -> None:
        sizes = {'a': 40, 'b': 40}
        asked = [
            self._choice(sizes, f'a-{number}').relay() for number in range(40)
        ]
        self.assertEqual(asked.count(None), 1)
        self.assertEqual(set(asked), {None, 'a-5'})

    def test_every_host_of_a_small_zone_asks_the_store(self) -> None:
        small = {'a': relays.MIN_RELAYED_ZONE_HOSTS - 1, 'b': 40}
        for number in range(small['a']):
            self.assertIsNone(self._choice(small, f'a-{number}').relay())

    def test_falls_back_to_the_second_relay_and_then_the_store(
        self,
    ) -> None:
        choice = self._choice({'a': 40}, 'a-9')
        first = choice.relay()
        choice.avoid(typing.cast(identifiers.HostName, first))
        second = choice.relay()
        self.assertNotIn(second, (None, first))
        choice.avoid(typing.cast(identifiers.HostName, second))
        self.assertIsNone(choice.relay())

    def test_hosts_do_not_ask_each_other_in_a_cycle(self) -> None:
        """Each chain of hosts that ask the next one must end at the store."""
        sizes = {'a': 40}
        asked = {
            f'a-{number}': self._choice(sizes, f'a-{number}').relay()
            for number in range(40)
        }
        for host in asked:
            steps = 0
            name: str | None = host
            while name is not None:
                name = asked[name]
                steps += 1
                self.assertLess(steps, 4)
