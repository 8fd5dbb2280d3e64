"""Statements that an entry answers itself, and their answers."""

import re

from mysql_mimic import charset, types

from egretstep import identifiers
from egretstep.peers import messages

_AUTOCOMMIT = re.compile(
    r'^\s*SET\s+(?:SESSION\s+|@@(?:SESSION\.)?)?AUTOCOMMIT\s*=\s*'
    r'(0|1|ON|OFF|TRUE|FALSE)\s*;?\s*$',
    re.IGNORECASE,
)
_ON = frozenset(('1', 'ON', 'TRUE'))
_NAMES = re.compile(
    r"^\s*SET\s+NAMES\s+'?utf8(?:mb4|mb3)?'?(?:\s+COLLATE\s+'?\w+'?)?\s*;?\s*$",
    re.IGNORECASE,
)
_USE = re.compile(r'^\s*USE\s+`?([\w.-]+)`?\s*;?\s*$', re.IGNORECASE)


def used_database(text: str) -> str:
    """Return the database that a USE statement names, else nothing.

    >>> used_database('USE loans')
    'loans'
    """
    used = _USE.match(text)
    return used.group(1) if used else ''


def sets_names(text: str) -> bool:
    """Tell whether a statement sets the character set that is in use."""
    return _NAMES.match(text) is not None


def wanted_autocommit(text: str) -> bool | None:
    """Return what a statement sets autocommit to, none for any other."""
    autocommit = _AUTOCOMMIT.match(text)
    return autocommit.group(1).upper() in _ON if autocommit else None


def done() -> messages.Answer:
    """Make the answer of a statement without rows."""
    return messages.Answer(
        request_id=identifiers.RequestId(0),
        outcome=identifiers.Outcome.DONE,
    )


def last_insert_id(insert_id: int) -> messages.Answer:
    """Make the answer to `SELECT LAST_INSERT_ID()`."""
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
