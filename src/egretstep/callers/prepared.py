"""Prepared statements: parameters are bound as literals, safely.

The statement's text is cut at its placeholders by a real tokenizer, and
every value is written so that it can't end its literal.
"""

import datetime
import io
import typing

import sqlglot
from mysql_mimic import charset, packets, prepared, types
from mysql_mimic import errors as mimic_errors
from sqlglot import errors as sqlglot_errors
from sqlglot import tokens

LARGEST_PARAMETERS = 16_777_216
# Each byte is one character of it, so that text and bytes come back as sent.
ANY_BYTES = charset.CharacterSet.latin1
_ITERATIONS_BYTES = 4
_BACKSLASH = bytes((92,))


def split_at_placeholders(sql: str) -> list[str]:
    """Return the pieces of a statement between its placeholders.

    >>> split_at_placeholders("SELECT '?' , ? + 1")
    ["SELECT '?' , ", ' + 1']
    """
    try:
        found = sqlglot.tokenize(sql, dialect='mysql')
    except sqlglot_errors.SqlglotError as error:
        raise mimic_errors.MysqlError(
            f'the statement can not be read ({error}); correct it',
            mimic_errors.ErrorCode.PARSE_ERROR,
        ) from error
    pieces = []
    start = 0
    for token in found:
        if token.token_type is tokens.TokenType.PLACEHOLDER:
            pieces.append(sql[start : token.start])
            start = token.end + 1
    return [*pieces, sql[start:]]


def bind(pieces: typing.Sequence[str], bound: typing.Sequence[object]) -> bytes:
    """Join the pieces of a statement with the literals of its parameters."""
    joined = [pieces[0].encode()]
    for parameter, piece in zip(bound, pieces[1:], strict=True):
        joined.extend((literal(parameter), piece.encode()))
    return b''.join(joined)


def literal(parameter: object) -> bytes:
    """Write a value as an SQL literal.

    >>> literal(b"it's")
    b"'it''s'"
    """
    if parameter is None:
        return b'NULL'
    if isinstance(parameter, bool):
        return b'1' if parameter else b'0'
    if isinstance(parameter, int | float):
        return str(parameter).encode()
    if isinstance(parameter, bytes):
        return _text_literal(parameter)
    if isinstance(parameter, datetime.date | datetime.timedelta):
        return _text_literal(str(parameter).encode())
    return _text_literal(str(parameter).encode())


def read_parameters(
    *,
    data: bytes,
    statement: prepared.PreparedStatement,
    capabilities: types.Capabilities,
) -> list[object]:
    """Read the parameters of a COM_STMT_EXECUTE packet."""
    reader = io.BytesIO(data)
    reader.read(4)
    _use_cursor, has_count = packets._read_cursor_flags(reader)  # noqa: SLF001
    reader.read(_ITERATIONS_BYTES)
    count = statement.num_params
    has_attributes = types.Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities
    if has_attributes and (count or has_count):
        count = types.read_uint_len(reader)
    named = packets._read_params(  # noqa: SLF001
        capabilities,
        ANY_BYTES,
        reader,
        count,
        statement.param_buffers,
    )
    return [_as_bytes(bound) for _name, bound in named[: statement.num_params]]


def _as_bytes(bound: object) -> object:
    return ANY_BYTES.encode(bound) if isinstance(bound, str) else bound


def _text_literal(text: bytes) -> bytes:
    try:
        text.decode()
    except UnicodeDecodeError:
        return b"X'%s'" % text.hex().encode()
    escaped = text.replace(_BACKSLASH, _BACKSLASH * 2).replace(b"'", b"''")
    return b"'%s'" % escaped
