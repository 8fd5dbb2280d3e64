"""The store gives some hosts no answer while it serves the others."""

import asyncio
import random
import typing

from tests import virtual_time
from tests.storage import fleet_fakes

SEEDS = 10
# All polls of a host are open by then.
START_SECONDS = 2.0
SMALL_ZONES = {'a': 3, 'b': 2, 'c': 2}
LARGE_ZONES = {'a': 20, 'b': 20}


class SilentStoreTest(virtual_time.VirtualTimeTestCase):
    """Hosts kept withdrawn keys for 21 s, until their polls timed out."""

    async def test_a_host_without_tasks_notices(self) -> None:
        for seed in range(SEEDS):
            random.seed(seed)
            fleet = fleet_fakes.Fleet(SMALL_ZONES)
            await self._assert_in_force(fleet, silenced=['a-1'])

    async def test_most_hosts_get_no_answer(self) -> None:
        silenced = ['a-0', 'a-1', 'b-0', 'b-1', 'c-1']
        for seed in range(SEEDS):
            random.seed(seed)
            fleet = fleet_fakes.Fleet(SMALL_ZONES)
            await self._assert_in_force(fleet, silenced=silenced)

    async def test_both_relays_of_a_zone_get_no_answer(self) -> None:
        for seed in range(SEEDS):
            random.seed(seed)
            fleet = fleet_fakes.Fleet(LARGE_ZONES)
            silenced = [f'a-{number}' for number in range(10)]
            await self._assert_in_force(fleet, silenced=silenced)

    async def test_most_hosts_of_a_large_fleet_get_no_answer(self) -> None:
        """The pauses between their attempts grew with the fleet."""
        random.seed(1)
        fleet = fleet_fakes.Fleet({'a': 200, 'b': 200})
        silenced = random.sample(list(fleet.hosts), 340)
        await self._assert_in_force(fleet, silenced=silenced)

    async def _assert_in_force(
        self, fleet: fleet_fakes.Fleet, *, silenced: typing.Sequence[str]
    ) -> None:
        """Check that all hosts have a change within the stated bound."""
        fleet.configure(1)
        running = [task for host in fleet.hosts.values() for task in host.run()]
        await asyncio.sleep(START_SECONDS)
        fleet.configure(2)
        await asyncio.sleep(START_SECONDS)
        self.assertEqual(fleet.names_behind(2), [])
        for name in silenced:
            fleet.hosts[name].store.is_silent = True
        fleet.configure(3)
        await asyncio.sleep(fleet.max_settings_delay)
        behind = fleet.names_behind(3)
        for task in running:
            task.cancel()
        self.assertEqual(behind, [])
