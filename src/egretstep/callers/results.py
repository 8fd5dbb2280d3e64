"""Converts answers of a database's owner into MySQL result sets."""

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
    """Return the result set for the text protocol.

    The cells are the bytes that the database server sent.
    """
    columns = [
        results.ResultColumn(
            name=column.name,
            type=types.ColumnType(column.type_code),
            character_set=_character_set(column),
            text_encoder=_keep_bytes,
        )
        for column in answer.columns
    ]
    return results.ResultSet(
        rows=typing.cast(typing.Any, answer.rows),
        columns=columns,
    )


def binary_result(answer: messages.Answer) -> results.ResultSet:
    """Return the result set for the binary protocol of prepared statements.

    Integers are sent as LONGLONG and floating-point numbers as DOUBLE. Other
    types are sent as text or bytes, which every client accepts.
    """
    columns = [_binary_column(column) for column in answer.columns]
    parsers = [_cell_parser(column) for column in answer.columns]
    rows = [
        tuple(
            None if cell is None else parse(cell)
            for parse, cell in zip(parsers, row, strict=True)
        )
        for row in answer.rows
    ]
    return results.ResultSet(rows=rows, columns=columns)


def _keep_bytes(_column: results.ResultColumn, cell: bytes) -> bytes:
    return cell


def _character_set(column: messages.Column) -> charset.CharacterSet:
    try:
        return charset.Collation(column.character_set).charset
    except ValueError:
        return charset.CharacterSet.utf8mb4


def _binary_column(column: messages.Column) -> results.ResultColumn:
    column_type = types.ColumnType(column.type_code)
    if column_type in _INTEGERS:
        column_type = types.ColumnType.LONGLONG
    elif column_type in _FLOATS:
        column_type = types.ColumnType.DOUBLE
    elif column.character_set == charset.Collation.binary:
        column_type = types.ColumnType.BLOB
    else:
        column_type = types.ColumnType.VAR_STRING
    return results.ResultColumn(
        name=column.name,
        type=column_type,
        character_set=_character_set(column),
    )


def _cell_parser(
    column: messages.Column,
) -> typing.Callable[[bytes], int | float | bytes]:
    column_type = types.ColumnType(column.type_code)
    if column_type in _INTEGERS:
        return int
    if column_type in _FLOATS:
        return float
    return bytes
