"""SQL execution of a stand-in database server, on SQLite in memory."""

import dataclasses
import re
import sqlite3
import typing

from mysql_mimic import charset, results, types
from mysql_mimic import errors as mimic_errors

ERROR_CODE_DUPLICATE_KEY = 1062
ERROR_CODE_NO_TABLE = 1146
ERROR_CODE_SYNTAX = 1064
_ESCAPED_QUOTE_PATTERN = re.compile(r"\\'")
_LOCKING_CLAUSE_PATTERN = re.compile(
    r'\s+FOR\s+(UPDATE|SHARE)\b.*$', re.IGNORECASE
)


@dataclasses.dataclass(slots=True)
class StatementResult:
    """The rows of a query, or the counters of another statement.

    There are no columns if the statement returns no rows.
    """

    columns: list[results.ResultColumn]
    rows: list[tuple[typing.Any, ...]]
    affected_rows: int = 0
    insert_id: int = 0


class Storage:
    """One SQLite database in memory, with one connection.

    A server keeps two: a working copy, on which the transaction that holds
    the write lock runs, and a copy of the committed rows, which all other
    connections read.
    """

    def __init__(self) -> None:
        self._connection = self._open_database()

    def reset(self) -> None:
        """Replace the database by an empty one."""
        self._connection.close()
        self._connection = self._open_database()

    def apply(self, statements: typing.Iterable[str]) -> None:
        """Run the statements of a committed transaction in a transaction."""
        self._connection.execute('BEGIN')
        for statement in statements:
            self.execute(statement)
        self._connection.execute('COMMIT')

    def begin(self) -> None:
        """Start a transaction."""
        self._connection.execute('BEGIN')

    def commit(self) -> None:
        """Commit the open transaction."""
        self._connection.execute('COMMIT')

    def rollback(self) -> None:
        """Roll back the open transaction, if there is one."""
        if self._connection.in_transaction:
            self._connection.execute('ROLLBACK')

    def execute(self, sql: str) -> StatementResult:
        """Run one statement of the MySQL dialect and return its result.

        Raises the MySQL error that corresponds to the error of SQLite.
        """
        text = _LOCKING_CLAUSE_PATTERN.sub(
            '', _ESCAPED_QUOTE_PATTERN.sub("''", sql)
        )
        try:
            cursor = self._connection.execute(text)
        except sqlite3.Error as error:
            raise _to_mysql_error(error) from error
        if cursor.description is None:
            return StatementResult(
                columns=[],
                rows=[],
                affected_rows=max(cursor.rowcount, 0),
                insert_id=cursor.lastrowid or 0,
            )
        rows = cursor.fetchall()
        return StatementResult(columns=_result_columns(cursor, rows), rows=rows)

    def _open_database(self) -> sqlite3.Connection:
        connection = sqlite3.connect(':memory:', isolation_level=None)
        connection.create_function('SLEEP', 1, lambda _seconds: 0)
        return connection


def _result_columns(
    cursor: sqlite3.Cursor,
    rows: list[tuple[typing.Any, ...]],
) -> list[results.ResultColumn]:
    columns = []
    for index, description in enumerate(cursor.description):
        sample = next(
            (row[index] for row in rows if row[index] is not None),
            None,
        )
        is_binary = isinstance(sample, bytes)
        columns.append(
            results.ResultColumn(
                description[0],
                _column_type(sample),
                charset.CharacterSet['binary' if is_binary else 'utf8mb4'],
            ),
        )
    return columns


def _column_type(sample: typing.Any) -> types.ColumnType:
    if isinstance(sample, int):
        return types.ColumnType.LONGLONG
    if isinstance(sample, float):
        return types.ColumnType.DOUBLE
    if isinstance(sample, bytes):
        return types.ColumnType.BLOB
    return types.ColumnType.VARCHAR


def _to_mysql_error(error: sqlite3.Error) -> mimic_errors.MysqlError:
    text = str(error)
    code = ERROR_CODE_SYNTAX
    if isinstance(error, sqlite3.IntegrityError):
        code = ERROR_CODE_DUPLICATE_KEY
    elif 'no such table' in text:
        code = ERROR_CODE_NO_TABLE
    return mimic_errors.MysqlError(text, typing.cast(typing.Any, code))
