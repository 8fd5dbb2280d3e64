"""The store gives some hosts no answer while it serves the others."""

import asyncio
import random
import types
import typing

import orjson

from egretstep import clock, errors, identifiers
from egretstep.platform import operator_settings, store
from egretstep.programs import store_watches
from egretstep.settings import node
from egretstep.storage import change_feed, tables
from tests import virtual_time
from tests.membership import test_relays
from tests.storage import feed_fakes

# Bound within which a configuration must be in force.
MAX_SETTINGS_DELAY_SECONDS = 3.0
SEEDS = 10
# All polls of a host are open by then.
START_SECONDS = 2.0
SMALL_ZONES = {'a': 3, 'b': 2, 'c': 2}
LARGE_ZONES = {'a': 20, 'b': 20}
ADDRESS = node.Address(host='10.1.0.1', port=7000)
_Answer = typing.TypeVar('_Answer')


class HostStore:
    """A host's client of the store, which may lose all answers to it."""

    def __init__(self, shared: feed_fakes.FakeStore) -> None:
        self._shared = shared
        self.is_silent = False

    async def read(self, table: str, prefix: str = '') -> tables.Snapshot:
        return await self._call(
            self._shared.read(table, prefix), store.REQUEST_TIMEOUT_SECONDS
        )

    async def changes(
        self,
        table: str,
        after: tables.Version,
        *,
        longest_wait: float = tables.LONGEST_WAIT_SECONDS,
    ) -> tables.Snapshot:
        timeout = longest_wait + store.POLL_ANSWER_SECONDS
        polled = self._shared.changes(table, after, longest_wait=longest_wait)
        return await self._call(polled, timeout)

    async def _call(
        self, call: typing.Awaitable[_Answer], timeout: float
    ) -> _Answer:
        try:
            async with asyncio.timeout(timeout):
                answer = await call
                if self.is_silent:
                    await asyncio.Event().wait()
                return answer
        except TimeoutError as error:
            raise errors.PlatformError('the store gave no answer') from error


class Host:
    """A host that holds no task, with its copies of the store's tables."""

    def __init__(
        self,
        name: str,
        zones: dict[str, int],
        shared: feed_fakes.FakeStore,
        fleet: 'Fleet',
    ) -> None:
        self._fleet = fleet
        self._name = name
        self.store = HostStore(shared)
        self._hosts = test_relays.make_directory(zones, name)
        self.watches = store_watches.StoreWatches(
            settings=_node_settings(name),
            store=typing.cast(tables.Tables, self.store),
            time_source=clock.MonotonicClock(),
        )

    @property
    def settings_version(self) -> int:
        return self.watches.configuration.version

    def run(self) -> list[asyncio.Future[None]]:
        children = self.watches.children(
            hosts=self._hosts,
            peers=typing.cast(typing.Any, self._fleet),
            renewal=typing.cast(
                typing.Any, types.SimpleNamespace(store_answers=True)
            ),
        )
        return [asyncio.ensure_future(child.run()) for child in children]


class Fleet:
    """All hosts, which reach each other."""

    def __init__(self, zones: dict[str, int]) -> None:
        self.shared = feed_fakes.FakeStore()
        self.hosts = {
            f'{zone}-{number}': Host(
                f'{zone}-{number}', zones, self.shared, self
            )
            for zone, size in zones.items()
            for number in range(size)
        }

    async def changes(
        self,
        host: identifiers.HostName,
        known: change_feed.Versions,
        *,
        wait: float,
    ) -> change_feed.FeedUpdate | None:
        return await self.hosts[host].watches.feed_server.poll(known)

    async def later_configuration(
        self,
        _host: identifiers.HostName,
        _version: identifiers.SettingsVersion,
    ) -> bytes:
        return b''

    def configure(self, version: int) -> None:
        content = orjson.dumps({
            'version': version,
            'routes': [],
            'services': [],
        })
        self.shared.put(operator_settings.CONFIGURATION_KEY, content)

    def names_behind(self, version: int) -> list[str]:
        return [
            name
            for name, host in self.hosts.items()
            if host.settings_version < version
        ]


class SilentStoreTest(virtual_time.VirtualTimeTestCase):
    """Hosts kept withdrawn keys for 21 s, until their polls timed out."""

    async def test_a_host_without_tasks_notices(self) -> None:
        for seed in range(SEEDS):
            random.seed(seed)
            fleet = Fleet(SMALL_ZONES)
            await self._assert_in_force(fleet, silenced=['a-1'])

    async def test_most_hosts_get_no_answer(self) -> None:
        silenced = ['a-0', 'a-1', 'b-0', 'b-1', 'c-1']
        for seed in range(SEEDS):
            random.seed(seed)
            fleet = Fleet(SMALL_ZONES)
            await self._assert_in_force(fleet, silenced=silenced)

    async def test_both_relays_of_a_zone_get_no_answer(self) -> None:
        for seed in range(SEEDS):
            random.seed(seed)
            fleet = Fleet(LARGE_ZONES)
            silenced = [f'a-{number}' for number in range(10)]
            await self._assert_in_force(fleet, silenced=silenced)

    async def _assert_in_force(
        self, fleet: Fleet, *, silenced: typing.Sequence[str]
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
        await asyncio.sleep(MAX_SETTINGS_DELAY_SECONDS)
        behind = fleet.names_behind(3)
        for task in running:
            task.cancel()
        self.assertEqual(behind, [])


def _node_settings(name: str) -> node.NodeSettings:
    return node.NodeSettings(
        host=identifiers.HostName(name),
        ip=ADDRESS.host,
        zone=identifiers.ZoneName(name[0]),
        callers=ADDRESS,
        readiness=ADDRESS,
        peers=ADDRESS,
        metrics=ADDRESS,
        store=ADDRESS,
        promotions=ADDRESS,
        is_first_start=False,
        processor=1.0,
        stop_grace_seconds=6.0,
        max_settings_delay_seconds=MAX_SETTINGS_DELAY_SECONDS,
        drain_seconds=7.0,
    )
