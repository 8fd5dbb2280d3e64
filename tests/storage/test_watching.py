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
