"""Checks statements of MySQL clients, and refusals, on real processes."""

import unittest

import asyncmy
import pymysql
from asyncmy import errors as asyncmy_errors

from standins import fleet
from tests import fixtures

LARGE_ROWS = 5000
LARGE_CELL_BYTES = 2048


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = fleet.Fleet(
            example='ausili-brambilla',
            port_offset=fixtures.PORT_OFFSET,
        )
        self.addCleanup(self.fleet.kill_all)
        await self.fleet.start()

    async def test_statements_of_a_stock_client(self) -> None:
        caller = await fixtures.connect(self.fleet)
        await self._check_reads_and_writes(caller)
        await self._check_transactions(caller)
        await self._check_errors(caller)
        await self._check_prepared(caller)
        await self._check_large_result(caller)
        self._check_other_client()
        await self._check_refusals()

    async def _check_reads_and_writes(self, caller: asyncmy.Connection) -> None:
        await fixtures.run(
            caller,
            'CREATE TABLE loans (id INTEGER PRIMARY KEY, item TEXT, raw BLOB)',
        )
        async with caller.cursor() as cursor:
            await cursor.execute("INSERT INTO loans (item) VALUES ('walker')")
            self.assertEqual((cursor.rowcount, cursor.lastrowid), (1, 1))
        rows = await fixtures.run(caller, 'SELECT LAST_INSERT_ID()')
        self.assertEqual(rows, ((1,),))
        await fixtures.run(
            caller,
            "INSERT INTO loans VALUES (2, NULL, X'00ff27')",
        )
        rows = await fixtures.run(caller, 'SELECT * FROM loans ORDER BY id')
        self.assertEqual(rows, ((1, 'walker', None), (2, None, b"\x00\xff'")))
        await caller.ping()

    async def _check_transactions(self, caller: asyncmy.Connection) -> None:
        other = await fixtures.connect(self.fleet, host='host-2')
        await fixtures.run(caller, 'BEGIN')
        await fixtures.run(caller, "INSERT INTO loans VALUES (3, 'x', NULL)")
        count = 'SELECT COUNT(*) FROM loans'
        self.assertEqual(await fixtures.run(caller, count), ((3,),))
        self.assertEqual(await fixtures.run(other, count), ((2,),))
        await fixtures.run(caller, 'ROLLBACK')
        self.assertEqual(await fixtures.run(caller, count), ((2,),))
        await fixtures.run(caller, 'SET autocommit = 0')
        await fixtures.run(caller, "INSERT INTO loans VALUES (4, 'y', NULL)")
        await fixtures.run(caller, 'COMMIT')
        await fixtures.run(caller, 'SET autocommit = 1')
        self.assertEqual(await fixtures.run(caller, count), ((3,),))

    async def _check_errors(self, caller: asyncmy.Connection) -> None:
        with self.assertRaises(asyncmy_errors.ProgrammingError) as missing:
            await fixtures.run(caller, 'SELECT * FROM nowhere')
        self.assertEqual(missing.exception.args[0], 1146)
        with self.assertRaises(asyncmy_errors.IntegrityError) as duplicate:
            await fixtures.run(caller, 'INSERT INTO loans (id) VALUES (1)')
        self.assertEqual(duplicate.exception.args[0], 1062)
        with self.assertRaises(asyncmy_errors.MySQLError) as multiple:
            await fixtures.run(caller, 'SELECT 1; SELECT 2')
        self.assertIn('one by one', str(multiple.exception))

    async def _check_prepared(self, caller: asyncmy.Connection) -> None:
        quoted_text = "it's ? 'odd'"
        insert = await caller.prepare('INSERT INTO loans VALUES (?, ?, ?)')
        inserted = await insert.execute((9, quoted_text, b'\xff\x00'))
        self.assertEqual(inserted.affected_rows, 1)
        select = await caller.prepare(
            'SELECT id, item, raw, 1.5 FROM loans WHERE item = ?',
        )
        found = await select.execute((quoted_text,))
        self.assertEqual(found.rows, ((9, quoted_text, b'\xff\x00', 1.5),))
        self.assertEqual(await fixtures.run(caller, 'SELECT 1'), ((1,),))

    async def _check_large_result(self, caller: asyncmy.Connection) -> None:
        rows = await fixtures.run(
            caller,
            'WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n '
            f'WHERE i < {LARGE_ROWS}) '
            f'SELECT i, HEX(ZEROBLOB({LARGE_CELL_BYTES // 2})) FROM n',
        )
        self.assertEqual(len(rows), LARGE_ROWS)
        self.assertEqual(len(rows[-1][1]), LARGE_CELL_BYTES)

    def _check_other_client(self) -> None:
        settings = self.fleet.hosts['host-3']
        with (
            pymysql.connect(
                host=settings.address,
                port=settings.caller_port,
                user='depot-milano',
                password='key-of-depot-milano',
                database='loans',
            ) as caller,
            caller.cursor() as cursor,
        ):
            cursor.execute('SELECT item FROM loans WHERE id = %s', (1,))
            self.assertEqual(cursor.fetchall(), (('walker',),))

    async def _check_refusals(self) -> None:
        for workspace, key in (
            ('depot-milano', 'wrong'),
            ('depot-milano', ''),
            ('nobody', 'key-of-depot-milano'),
        ):
            with self.assertRaises(asyncmy_errors.OperationalError) as denied:
                await fixtures.connect(
                    self.fleet,
                    workspace=workspace,
                    key=key,
                )
            self.assertEqual(denied.exception.args[0], 1045)
        stranger = await fixtures.connect(self.fleet, workspace='nurses')
        with self.assertRaises(asyncmy_errors.OperationalError) as other:
            await fixtures.run(stranger, "SELECT 'secret of nurses'")
        self.assertEqual(other.exception.args[0], 1044)
        for statements in await fixtures.read_received_statements(
            self.fleet, 'loans'
        ):
            self.assertNotIn('secret of nurses', statements)
            self.assertNotIn('key-of-', statements)
