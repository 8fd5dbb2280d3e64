import unittest

import orjson

from egretstep import clock
from egretstep.platform import operator_settings
from egretstep.settings import configuration_follower
from egretstep.storage import tables, watching
from tests import platform_fakes


def _content(version: int) -> bytes:
    return orjson.dumps({
        'version': version,
        'routes': [],
        'services': [],
        'tenants': [],
    })


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
            self._publish(_content(version))
            self.assertEqual(self.follower.version, expected)

    def test_invalid_content_is_ignored(self) -> None:
        self._publish(_content(3))
        for invalid in (b'', b'{', b'[]', b'{"version": 9}', b'\xff'):
            self._publish(invalid)
            self.assertEqual(self.follower.version, 3)

    def test_zones_out_follow_the_rows(self) -> None:
        rows = self._rows(_content(3))
        rows['evacuate/north'] = tables.Row(
            key='evacuate/north',
            content=b'{}',
            version=2,
        )
        self.watch.changes.on_next(rows)
        self.assertEqual(self.follower.current.zones_out, {'north'})
        self.assertEqual(self.follower.version, 3)
        self._publish(_content(4))
        self.assertEqual(self.follower.current.zones_out, frozenset())

    def _publish(self, content: bytes) -> None:
        self.watch.changes.on_next(self._rows(content))

    def _rows(self, content: bytes) -> dict[str, tables.Row]:
        row = tables.Row(key='config', content=content, version=1)
        return {'config': row}
