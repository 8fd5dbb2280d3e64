"""Turns answers of the owner into result sets for callers."""

import typing

from mysql_mimic import charset, results, types

from egretstep.peers import messages

_INTEGERS = frozenset((
    types.ColumnType.TINY,
    types.ColumnType.SHORT,
    types.ColumnType.LONG,
    types.ColumnType.INT24,
    types.ColumnType.LONGLONG,
    types.ColumnType.YEAR,
))
_FLOATS = frozenset((types.ColumnType.FLOAT, types.ColumnType.DOUBLE))


def text_result(answer: messages.Answer) -> results.ResultSet:
    """Return the rows for the text protocol, as the server sent them."""
    columns = [
        results.ResultColumn(
            name=column.name,
            type=types.ColumnType(column.type_code),
            character_set=_character_set(column),
            text_encoder=_as_sent,
        )
        for column in answer.columns
    ]
    return results.ResultSet(
        rows=typing.cast(typing.Any, answer.rows),
        columns=columns,
    )


def binary_result(answer: messages.Answer) -> results.ResultSet:
    """Return the rows for the binary protocol of prepared statements.

    Types other than numbers are sent as text, which every client accepts.
    """
    columns = [_binary_column(column) for column in answer.columns]
    readers = [_reader(column) for column in answer.columns]
    rows = [
        tuple(
            None if cell is None else read(cell)
            for read, cell in zip(readers, row, strict=True)
        )
        for row in answer.rows
    ]
    return results.ResultSet(rows=rows, columns=columns)


def _as_sent(_column: results.ResultColumn, cell: bytes) -> bytes:
    return cell


def _character_set(column: messages.Column) -> charset.CharacterSet:
    try:
        return charset.Collation(column.character_set).charset
    except ValueError:
        return charset.CharacterSet.utf8mb4


def _binary_column(column: messages.Column) -> results.ResultColumn:
    kind = types.ColumnType(column.type_code)
    if kind in _INTEGERS:
        kind = types.ColumnType.LONGLONG
    elif kind in _FLOATS:
        kind = types.ColumnType.DOUBLE
    elif column.character_set == charset.Collation.binary:
        kind = types.ColumnType.BLOB
    else:
        kind = types.ColumnType.VAR_STRING
    return results.ResultColumn(
        name=column.name,
        type=kind,
        character_set=_character_set(column),
    )


def _reader(
    column: messages.Column,
) -> typing.Callable[[bytes], int | float | bytes]:
    kind = types.ColumnType(column.type_code)
    if kind in _INTEGERS:
        return int
    if kind in _FLOATS:
        return float
    return bytes
