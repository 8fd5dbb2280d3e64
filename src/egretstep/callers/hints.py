"""Hints that a caller gives for its session and its next requests.

A caller gives them as user variables, as in `SET @egretstep_session =
'till-4'`. They stay in force until they are set again, except that a request
key is cleared by the write that uses it. They are not sent to a database
server.
"""

import dataclasses
import re
import typing

import sqlglot
from returns import result
from sqlglot import errors as sqlglot_errors
from sqlglot import expressions

from egretstep import errors, identifiers

PREFIX = 'egretstep_'
MAX_NAME_CHARACTERS = 64
_NAME_PATTERN = re.compile(rf'^[A-Za-z0-9_.:-]{{0,{MAX_NAME_CHARACTERS}}}$')
_VARIABLE_PATTERN = re.compile(r'@egretstep_', re.IGNORECASE)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hints:
    """Hints of a caller, all of them optional.

    Connections with the same `session` see each other's writes.
    `max_staleness_ms` is the replica lag that reads accept. `request_key`
    makes the next write run at most once across retries, `repeatable` permits
    statements to be run twice, and `timeout_ms` limits each statement.
    """

    session: identifiers.SessionId = identifiers.SessionId('')
    max_staleness_ms: int | None = None
    request_key: identifiers.RequestKey = identifiers.RequestKey('')
    repeatable: bool = False
    timeout_ms: int | None = None


def mentions_hint(sql: str) -> bool:
    """Tell whether a statement mentions the variable of a hint."""
    return bool(_VARIABLE_PATTERN.search(sql))


def apply_statement(
    hints: Hints,
    sql: str,
) -> result.Result[Hints, errors.Refusal]:
    """Return the hints after a SET statement, or the reason for refusing it.

    >>> changed = apply_statement(Hints(), "SET @egretstep_session = 'a'")
    >>> changed.unwrap().session
    'a'
    """
    try:
        parsed = sqlglot.parse_one(sql, dialect='mysql')
    except sqlglot_errors.SqlglotError as error:
        return result.Failure(_wrong_value(sql, str(error)))
    if not isinstance(parsed, expressions.Set):
        return result.Failure(_wrong_value(sql, 'not a SET statement'))
    changes: dict[str, typing.Any] = {}
    for assignment in parsed.expressions:
        remedy = _parse_assignment(assignment.this, changes)
        if remedy:
            return result.Failure(_wrong_value(sql, remedy))
    return result.Success(dataclasses.replace(hints, **changes))


def _parse_assignment(
    assignment: expressions.Expr,
    changes: dict[str, typing.Any],
) -> str:
    """Add an assignment to the changes; return a remedy if it is invalid."""
    if not isinstance(assignment, expressions.EQ):
        return 'not an assignment'
    return _parse_variable(
        assignment.this.name.lower(),
        assignment.expression.name,
        changes,
    )


def _parse_variable(
    name: str,
    text: str,
    changes: dict[str, typing.Any],
) -> str:
    """Add a variable to the changes; return a remedy if it is invalid."""
    field = name.removeprefix(PREFIX)
    if field in {'session', 'request_key'}:
        if not _NAME_PATTERN.match(text):
            return 'use up to 64 letters, digits and _ . : -'
        changes[field] = text
        return ''
    if field in {'max_staleness_ms', 'timeout_ms'}:
        if text and not text.isdigit():
            return 'use a whole number of milliseconds'
        changes[field] = int(text) if text else None
        return ''
    if field == 'repeatable' and text in {'0', '1'}:
        changes[field] = text == '1'
        return ''
    known = [hint.name for hint in dataclasses.fields(Hints)]
    return f'{name} = {text!r} is not known; one of {known}, repeatable 0 or 1'


def _wrong_value(bad_value: str, remedy: str) -> errors.Refusal:
    return errors.Refusal(
        kind=errors.RefusalKind.WRONG_VALUE,
        message=f'{bad_value[:60]!r}: {remedy}',
    )
