import asyncio
import unittest

from egretstep import clock, errors
from egretstep.storage import tables, watching
from tests import platform_fakes, virtual_time

MIN_PAUSE_SECONDS = 0.5
PAUSE_PER_ROW_SECONDS = 0.02


class ChangingTable:
    """A table of many hosts that changes continuously."""

    def __init__(self, rows: int) -> None:
        self.read_count = 0
        self._rows = rows

    async def read(self, _table: str, _prefix: str = '') -> tables.Snapshot:
        return self._snapshot(number=1)

    async def changes(
        self,
        _table: str,
        version: tables.Version,
        **_options: object,
    ) -> tables.Snapshot:
        self.read_count += 1
        return self._snapshot(number=version.number + 1)

    def _snapshot(self, number: int) -> tables.Snapshot:
        version = platform_fakes.version(number)
        rows = [
            tables.Row(key=f'host/{index}', content=b'{}', version=version)
            for index in range(self._rows)
        ]
        return tables.Snapshot(rows=tuple(rows), version=version)


class PauseTest(virtual_time.VirtualTimeTestCase):
    def test_small_tables_have_the_minimum_pause(self) -> None:
        pause = watching.pause_by_rows(MIN_PAUSE_SECONDS, PAUSE_PER_ROW_SECONDS)
        self.assertEqual(pause(dict.fromkeys(range(25))), MIN_PAUSE_SECONDS)
        self.assertEqual(pause(dict.fromkeys(range(100))), 2)

    async def test_larger_tables_are_read_less_often(self) -> None:
        read_count = [await self._count_reads(rows) for rows in (50, 100)]
        self.assertLessEqual(read_count[1], read_count[0] / 1.5)

    async def _count_reads(self, rows: int) -> int:
        table = ChangingTable(rows)
        watch = watching.TableWatch(
            store=table,
            table='fleet',
            time_source=clock.MonotonicClock(),
            pause=watching.pause_by_rows(0.01, for_each_row=0.001),
        )
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.6)
        task.cancel()
        return table.read_count


class ReturningStore:
    """A store that was restored while it did not answer."""

    def __init__(self) -> None:
        self.is_down = False
        self.version = platform_fakes.version(5)

    async def read(self, _table: str, _prefix: str = '') -> tables.Snapshot:
        return tables.Snapshot(rows=(), version=self.version)

    async def changes(
        self,
        _table: str,
        version: tables.Version,
        *,
        longest_wait: float = tables.LONGEST_WAIT_SECONDS,
    ) -> tables.Snapshot:
        if self.is_down:
            raise errors.PlatformError('away')
        await asyncio.sleep(longest_wait)
        if self.version.era != version.era:
            raise tables.HistoryGoneError('of another era')
        return tables.Snapshot(rows=(), version=self.version)


class ReturnTest(virtual_time.VirtualTimeTestCase):
    async def test_the_first_poll_after_a_failure_does_not_wait(self) -> None:
        """A poll waited for a change after a number of the former era."""
        store = ReturningStore()
        store.is_down = True
        watch = watching.TableWatch(
            store=store,
            table='op',
            time_source=clock.MonotonicClock(),
        )
        running = asyncio.create_task(watch.run())
        await asyncio.sleep(0.05)
        store.version = platform_fakes.version(5, era=2)
        store.is_down = False
        await asyncio.sleep(watching.FIRST_RETRY_SECONDS * 5)
        running.cancel()
        self.assertEqual(watch.version, store.version)

    async def test_a_poll_that_was_ended_is_repeated_without_a_wait(
        self,
    ) -> None:
        """Otherwise a version that it lacks would end the next poll too."""
        store = EndingStore()
        watch = watching.TableWatch(
            store=store,
            table='servers',
            time_source=clock.MonotonicClock(),
        )
        running = asyncio.create_task(watch.run())
        await asyncio.sleep(0.05)
        running.cancel()
        longest = tables.LONGEST_WAIT_SECONDS
        self.assertEqual(store.waits, [longest, 0, longest])


class EndingStore(ReturningStore):
    """A store whose first poll is ended; `waits` holds those of all polls."""

    def __init__(self) -> None:
        super().__init__()
        self.waits: list[float] = []

    async def changes(
        self,
        table: str,
        version: tables.Version,
        *,
        longest_wait: float = tables.LONGEST_WAIT_SECONDS,
    ) -> tables.Snapshot:
        self.waits.append(longest_wait)
        if len(self.waits) == 1:
            raise tables.PollEndedError('the store has a later version')
        return await super().changes(table, version, longest_wait=longest_wait)


class AcceptTest(unittest.TestCase):
    """Changes arrive from several hosts, in any order."""

    def setUp(self) -> None:
        self.watch = watching.TableWatch(
            store=ChangingTable(0),
            table='op',
            time_source=clock.ManualClock(),
        )

    def _accept(self, number: int, content: bytes) -> bool:
        version = platform_fakes.version(number)
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

    def test_older_row_is_ignored(self) -> None:
        self.assertTrue(self._accept(5, b'newer'))
        self.assertFalse(self._accept(3, b'older'))
        self.assertEqual(self.watch.rows['config'].content, b'newer')
        self.assertEqual(self.watch.version, platform_fakes.version(5))

    def test_deleted_row_is_not_restored_by_an_older_change(self) -> None:
        self._accept(3, b'there')
        self._accept(5, b'')
        self.assertFalse(self._accept(4, b'late change'))
        self.assertEqual(dict(self.watch.rows), {})

    def test_restored_rows_replace_those_of_the_former_era(self) -> None:
        """A configuration was dropped, as its number had been given out."""
        self._accept(5, b'lost')
        restored = tables.Row(
            key='config',
            content=b'added after the return',
            version=platform_fakes.version(5, era=2),
        )
        self.watch.load(
            tables.Snapshot(rows=(restored,), version=restored.version)
        )
        self.assertEqual(self.watch.rows['config'].content, restored.content)
        self.assertEqual(self.watch.version, restored.version)

    def test_rows_that_a_restored_store_lacks_are_gone(self) -> None:
        self._accept(5, b'lost')
        version = platform_fakes.version(3, era=2)
        self.watch.load(tables.Snapshot(rows=(), version=version))
        self.assertEqual(dict(self.watch.rows), {})
