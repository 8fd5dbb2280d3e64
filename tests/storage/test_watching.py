import asyncio
import unittest

from egretstep import clock
from egretstep.storage import tables, watching

SHORTEST = 0.5
FOR_EACH_ROW = 0.02


class ChangingTable:
    """A table of many hosts in which something changes all the time."""

    def __init__(self, rows: int) -> None:
        self.asked = 0
        self._rows = rows

    async def read(self, _table: str, _prefix: str = '') -> tables.Snapshot:
        return self._snapshot(version=1)

    async def changes(self, _table: str, version: int) -> tables.Snapshot:
        self.asked += 1
        return self._snapshot(version=version + 1)

    def _snapshot(self, version: int) -> tables.Snapshot:
        rows = [
            tables.Row(key=f'host/{number}', content=b'{}', version=version)
            for number in range(self._rows)
        ]
        return tables.Snapshot(rows=tuple(rows), version=version)


class PauseTest(unittest.IsolatedAsyncioTestCase):
    def test_small_tables_have_the_shortest_pause(self) -> None:
        pause = watching.pausing(SHORTEST, FOR_EACH_ROW)
        self.assertEqual(pause(dict.fromkeys(range(25))), SHORTEST)
        self.assertEqual(pause(dict.fromkeys(range(100))), 2)

    async def test_calls_of_a_host_do_not_grow_with_the_fleet(self) -> None:
        asked = [await self._asked(rows) for rows in (50, 100)]
        self.assertLessEqual(asked[1], asked[0] / 1.5)

    async def _asked(self, rows: int) -> int:
        table = ChangingTable(rows)
        watch = watching.TableWatch(
            store=table,
            table='fleet',
            time_source=clock.MonotonicClock(),
            pause=watching.pausing(0.01, for_each_row=0.001),
        )
        following = asyncio.create_task(watch.run())
        await asyncio.sleep(0.6)
        following.cancel()
        return table.asked


class AcceptTest(unittest.TestCase):
    """News come from several hosts, in any order."""

    def setUp(self) -> None:
        self.watch = watching.TableWatch(
            store=ChangingTable(0),
            table='op',
            time_source=clock.ManualClock(),
        )

    def _accept(self, version: int, content: bytes) -> bool:
        row = tables.Row(
            key='config',
            content=content,
            version=version,
            is_deleted=not content,
        )
        return self.watch.accept(
            tables.Snapshot(rows=(row,), version=version),
            confirmed_at=0,
        )

    def test_an_older_row_replaces_nothing(self) -> None:
        self.assertTrue(self._accept(5, b'newer'))
        self.assertFalse(self._accept(3, b'older'))
        self.assertEqual(self.watch.rows['config'].content, b'newer')
        self.assertEqual(self.watch.version, 5)

    def test_a_dropped_row_does_not_come_back(self) -> None:
        self._accept(3, b'there')
        self._accept(5, b'')
        self.assertFalse(self._accept(4, b'late news'))
        self.assertEqual(dict(self.watch.rows), {})
