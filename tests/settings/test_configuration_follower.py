import asyncio
import typing
import unittest
from unittest import mock

import orjson

from egretstep import clock
from egretstep.platform import operator_settings
from egretstep.settings import configuration_follower
from egretstep.storage import tables, watching
from tests import platform_fakes

HOLD_SECONDS = 0.05


def make_content(version: int) -> bytes:
    return orjson.dumps({
        'version': version,
        'routes': [],
        'services': [],
        'tenants': [],
    })


def make_follower() -> configuration_follower.ConfigurationFollower:
    return configuration_follower.ConfigurationFollower(
        watch=watching.TableWatch(
            store=platform_fakes.FakeTables(),
            table='op',
            time_source=clock.ManualClock(),
        ),
        table_format=operator_settings.FORMAT,
    )


class ConfigurationFollowerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.watch = watching.TableWatch(
            store=platform_fakes.FakeTables(),
            table='op',
            time_source=clock.ManualClock(),
        )
        self.follower = configuration_follower.ConfigurationFollower(
            watch=self.watch,
            table_format=operator_settings.FORMAT,
        )

    def test_the_version_never_decreases(self) -> None:
        for version, expected in ((3, 3), (7, 7), (5, 7), (8, 8)):
            self._publish(make_content(version))
            self.assertEqual(self.follower.version, expected)

    def test_invalid_content_is_ignored(self) -> None:
        self._publish(make_content(3))
        for invalid in (b'', b'{', b'[]', b'{"version": 9}', b'\xff'):
            self._publish(invalid)
            self.assertEqual(self.follower.version, 3)

    def test_zones_out_follow_the_rows(self) -> None:
        rows = self._rows(make_content(3))
        rows['evacuate/north'] = tables.Row(
            key='evacuate/north',
            content=b'{}',
            version=platform_fakes.version(2),
        )
        self.watch.changes.on_next(rows)
        self.assertEqual(self.follower.current.zones_out, {'north'})
        self.assertEqual(self.follower.version, 3)
        self._publish(make_content(4))
        self.assertEqual(self.follower.current.zones_out, frozenset())

    def test_other_hosts_get_a_later_version_only(self) -> None:
        content = make_content(7)
        self._publish(content)
        self.assertEqual(self.follower.content_after(6), content)
        self.assertEqual(self.follower.content_after(7), b'')

    def _publish(self, content: bytes) -> None:
        self.watch.changes.on_next(self._rows(content))

    def _rows(self, content: bytes) -> dict[str, tables.Row]:
        row = tables.Row(key='config', content=content, version=1)
        return {'config': row}


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    """The first rows of a restored store are older than the known ones."""

    def setUp(self) -> None:
        self.watch = watching.TableWatch(
            store=platform_fakes.FakeTables(),
            table='op',
            time_source=clock.MonotonicClock(),
        )
        self.follower = configuration_follower.ConfigurationFollower(
            watch=self.watch,
            table_format=operator_settings.FORMAT,
        )
        self._load(1, version=3, zones=('north',))

    async def test_the_configuration_does_not_go_back(self) -> None:
        self._load(2, version=2, zones=('north',))
        self.assertEqual(self.follower.version, 3)
        self._load(2, version=4, zones=('north',))
        self.assertEqual(self.follower.version, 4)

    async def test_a_zone_out_of_service_stays_so_until_rows_are_back(
        self,
    ) -> None:
        """Its row is among the lost writes, and is written again."""
        with self._quick():
            self._load(2, version=3, zones=())
            self.assertEqual(self._zones_out(), {'north'})
            self._load(2, version=3, zones=('north',))
            await asyncio.sleep(HOLD_SECONDS * 2)
            self.assertEqual(self._zones_out(), {'north'})

    async def test_a_zone_whose_row_stays_lost_returns(self) -> None:
        with self._quick():
            self._load(2, version=3, zones=())
            await asyncio.sleep(HOLD_SECONDS * 2)
            self.assertEqual(self._zones_out(), frozenset())

    async def test_zones_change_at_once_later(self) -> None:
        with self._quick():
            self._load(2, version=3, zones=('north',))
            await asyncio.sleep(HOLD_SECONDS * 2)
            self._load(2, version=3, zones=('south',))
            self.assertEqual(self._zones_out(), {'south'})

    def _quick(self) -> typing.ContextManager[object]:
        return mock.patch.object(
            configuration_follower, 'RESTORED_ROWS_SECONDS', HOLD_SECONDS
        )

    def _zones_out(self) -> typing.AbstractSet[str]:
        return self.follower.current.zones_out

    def _load(
        self, era: int, *, version: int, zones: typing.Sequence[str]
    ) -> None:
        """Read the whole table, as after a restore."""
        number = self.watch.version.number + 1
        stored_at = platform_fakes.version(number, era=era)
        contents = {'config': make_content(version)}
        contents.update((f'evacuate/{zone}', b'{}') for zone in zones)
        rows = tuple(
            tables.Row(key=key, content=content, version=stored_at)
            for key, content in contents.items()
        )
        self.watch.load(tables.Snapshot(rows=rows, version=stored_at))
