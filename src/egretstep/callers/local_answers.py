"""Recognizes the statements that an entry answers without a server."""

import re

from mysql_mimic import charset, types

from egretstep import identifiers
from egretstep.peers import messages

_AUTOCOMMIT = re.compile(
    r'^\s*SET\s+(?:SESSION\s+|@@(?:SESSION\.)?)?AUTOCOMMIT\s*=\s*'
    r'(0|1|ON|OFF|TRUE|FALSE)\s*;?\s*$',
    re.IGNORECASE,
)
_TRUE_WORDS = frozenset(('1', 'ON', 'TRUE'))
_SET_NAMES = re.compile(
    r"^\s*SET\s+NAMES\s+'?utf8(?:mb4|mb3)?'?(?:\s+COLLATE\s+'?\w+'?)?\s*;?\s*$",
    re.IGNORECASE,
)
_USE = re.compile(r'^\s*USE\s+`?([\w.-]+)`?\s*;?\s*$', re.IGNORECASE)


def parse_use(text: str) -> str:
    """Return the database that a USE statement names, or an empty text.

    >>> parse_use('USE loans')
    'loans'
    """
    match = _USE.match(text)
    return match.group(1) if match else ''


def is_set_names(text: str) -> bool:
    """Tell whether a statement is SET NAMES with a UTF-8 character set."""
    return _SET_NAMES.match(text) is not None


def parse_autocommit(text: str) -> bool | None:
    """Return the autocommit mode that a statement sets, or None."""
    match = _AUTOCOMMIT.match(text)
    return match.group(1).upper() in _TRUE_WORDS if match else None


def make_ok() -> messages.Answer:
    """Return the answer of a statement that succeeded without rows."""
    return messages.Answer(
        request_id=identifiers.RequestId(0),
        outcome=identifiers.Outcome.DONE,
    )


def make_last_insert_id(insert_id: int) -> messages.Answer:
    """Return the answer to `SELECT LAST_INSERT_ID()`."""
    column = messages.Column(
        name='LAST_INSERT_ID()',
        type_code=types.ColumnType.LONGLONG,
        character_set=charset.Collation.binary,
    )
    return messages.Answer(
        request_id=identifiers.RequestId(0),
        outcome=identifiers.Outcome.DONE,
        columns=(column,),
        rows=[(str(insert_id).encode(),)],
    )
