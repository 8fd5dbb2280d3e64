"""Binds the parameters of prepared statements as SQL literals.

The text of a statement is split at its placeholders by an SQL tokenizer, so
that a question mark in a literal or a quoted name is not a placeholder. Every
parameter is escaped so that it can't end its literal.
"""

import datetime
import io
import typing

import sqlglot
from mysql_mimic import charset, packets, prepared, types
from mysql_mimic import errors as mimic_errors
from sqlglot import errors as sqlglot_errors
from sqlglot import tokens

MAX_PARAMETER_BYTES = 16_777_216
# Maps each byte to one character, so that decoding and encoding a text gives
# the bytes that the caller sent.
BYTE_CHARACTER_SET = charset.CharacterSet.latin1
_ITERATION_COUNT_BYTES = 4
_BACKSLASH = bytes((92,))


def split_at_placeholders(sql: str) -> list[str]:
    """Return the pieces of a statement between its placeholders.

    Raises `MysqlError` when the statement can't be tokenized.

    >>> split_at_placeholders("SELECT '?' , ? + 1")
    ["SELECT '?' , ", ' + 1']
    """
    try:
        sql_tokens = sqlglot.tokenize(sql, dialect='mysql')
    except sqlglot_errors.SqlglotError as error:
        raise mimic_errors.MysqlError(
            f'the statement can not be read ({error}); correct it',
            mimic_errors.ErrorCode.PARSE_ERROR,
        ) from error
    pieces = []
    start = 0
    for token in sql_tokens:
        if token.token_type is tokens.TokenType.PLACEHOLDER:
            pieces.append(sql[start : token.start])
            start = token.end + 1
    return [*pieces, sql[start:]]


def bind(
    pieces: typing.Sequence[str],
    parameter_values: typing.Sequence[object],
) -> bytes:
    """Return a statement with the literals of its parameters in place.

    Raises `ValueError` when their number is not that of the placeholders.
    """
    joined = [pieces[0].encode()]
    for parameter, piece in zip(parameter_values, pieces[1:], strict=True):
        joined.extend((format_literal(parameter), piece.encode()))
    return b''.join(joined)


def format_literal(parameter: object) -> bytes:
    """Return a parameter as an SQL literal.

    Bytes that are not valid UTF-8 become a hexadecimal literal.

    >>> format_literal(b"it's")
    b"'it''s'"
    """
    if parameter is None:
        return b'NULL'
    if isinstance(parameter, bool):
        return b'1' if parameter else b'0'
    if isinstance(parameter, int | float):
        return str(parameter).encode()
    if isinstance(parameter, bytes):
        return _quote(parameter)
    if isinstance(parameter, datetime.date | datetime.timedelta):
        return _quote(str(parameter).encode())
    return _quote(str(parameter).encode())


def read_parameters(
    *,
    data: bytes,
    statement: prepared.PreparedStatement,
    capabilities: types.Capabilities,
) -> list[object]:
    """Return the parameters of a COM_STMT_EXECUTE packet.

    Text is returned as the bytes that the caller sent.
    """
    reader = io.BytesIO(data)
    reader.read(4)
    _use_cursor, has_parameter_count = packets._read_cursor_flags(reader)  # noqa: SLF001
    reader.read(_ITERATION_COUNT_BYTES)
    count = statement.num_params
    has_attributes = types.Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities
    if has_attributes and (count or has_parameter_count):
        count = types.read_uint_len(reader)
    named_values = packets._read_params(  # noqa: SLF001
        capabilities,
        BYTE_CHARACTER_SET,
        reader,
        count,
        statement.param_buffers,
    )
    return [
        _encode_text(value)
        for _name, value in named_values[: statement.num_params]
    ]


def _encode_text(value: object) -> object:
    return BYTE_CHARACTER_SET.encode(value) if isinstance(value, str) else value


def _quote(text: bytes) -> bytes:
    try:
        text.decode()
    except UnicodeDecodeError:
        return b"X'%s'" % text.hex().encode()
    escaped = text.replace(_BACKSLASH, _BACKSLASH * 2).replace(b"'", b"''")
    return b"'%s'" % escaped
