"""Tells reads from writes, with a cache by the shape of the statement.

A statement that is not surely a read is a write. A known shape costs one
substitution and one look-up; a new one is parsed in a thread.
"""

import asyncio
import collections
import logging
import re
import typing

import sqlglot
from returns import result
from sqlglot import errors as sqlglot_errors
from sqlglot import expressions, tokens

from egretstep import errors, identifiers

CACHED_SHAPES = 8192
LONGEST_PARSED = 65_536
_Kind = identifiers.StatementKind
_LITERALS = re.compile(r"'(?:[^'\\]|'')*'|\b\d+(?:\.\d+)?\b")
_UNSAFE_FOR_SHAPE = re.compile(r'[\\"`#]|--|/\*')
_LEADING_COMMENT = re.compile(r'^\s*/\*(?!!).*?\*/', re.DOTALL)
_FIRST_WORD = re.compile(r'^[\s(]*([A-Za-z]+)')
_RUNS_PLAN = re.compile(r'^\W*\w+\s+ANALYZE\b', re.IGNORECASE)
_RESERVED_CALL = re.compile(r'\b(?:group|fault)_\w+\s*\(', re.IGNORECASE)
_BOUNDARIES: dict[type[expressions.Expr], identifiers.StatementKind] = {
    expressions.Transaction: _Kind.BEGIN,
    expressions.Commit: _Kind.COMMIT,
    expressions.Rollback: _Kind.ROLLBACK,
}
_SESSION_WORDS = frozenset((
    'SET',
    'LOCK',
    'UNLOCK',
    'PREPARE',
    'EXECUTE',
    'DEALLOCATE',
    'HANDLER',
    'XA',
))
_SAFE_FUNCTIONS = frozenset((
    'BENCHMARK',
    'CONNECTION_ID',
    'CRC32',
    'DATABASE',
    'FORMAT_BYTES',
    'INET_ATON',
    'INET_NTOA',
    'NAME_CONST',
    'NOW',
    'RAND',
    'SCHEMA',
    'SYSTEM_USER',
    'SLEEP',
    'TRUNCATE',
    'USER',
    'UUID',
    'UUID_SHORT',
    'VERSION',
    'WEIGHT_STRING',
))
_LOCK_FUNCTIONS = frozenset((
    'GET_LOCK',
    'RELEASE_LOCK',
    'RELEASE_ALL_LOCKS',
    'IS_FREE_LOCK',
    'IS_USED_LOCK',
))

# The parser warns of every statement that it does not know.
logging.getLogger('sqlglot').setLevel(logging.ERROR)

Classified = result.Result[identifiers.StatementKind, errors.Refusal]


class StatementClassifier:
    """Classifies statements and remembers their shapes.

    >>> classifier = StatementClassifier()
    >>> classifier.classify_now('SELECT * FROM loans WHERE id = 7').unwrap()
    <StatementKind.READ: 'read'>
    """

    def __init__(self, *, capacity: int = CACHED_SHAPES) -> None:
        self._capacity = capacity
        self._shapes: collections.OrderedDict[str, Classified] = (
            collections.OrderedDict()
        )

    async def classify(self, sql: str) -> Classified:
        """Return the kind of a statement, or why it is refused."""
        shape = shape_of(sql)
        known = self._shapes.get(shape)
        if known is None:
            known = await asyncio.to_thread(classify_text, sql)
            self._remember(shape, known)
        return known

    def classify_now(self, sql: str) -> Classified:
        """Do the same without a thread."""
        shape = shape_of(sql)
        known = self._shapes.get(shape)
        if known is None:
            known = classify_text(sql)
            self._remember(shape, known)
        return known

    def _remember(self, shape: str, classified: Classified) -> None:
        if len(shape) > LONGEST_PARSED:
            return
        self._shapes[shape] = classified
        while len(self._shapes) > self._capacity:
            self._shapes.popitem(last=False)


def shape_of(sql: str) -> str:
    """Return the text with its literals left out.

    Texts with comments, escapes or quoted names are their own shape, since
    in them a quote need not begin a literal.
    """
    if _UNSAFE_FOR_SHAPE.search(sql):
        return sql
    return _LITERALS.sub('?', sql)


def classify_text(sql: str) -> Classified:
    """Classify a text without a cache."""
    refusal = _check_text(sql)
    if refusal:
        return result.Failure(refusal)
    word = _first_word(sql)
    if word in _SESSION_WORDS:
        return result.Success(_Kind.SESSION)
    if len(sql) > LONGEST_PARSED:
        return result.Success(_Kind.WRITE)
    try:
        parsed = sqlglot.parse_one(sql, dialect='mysql')
    except (sqlglot_errors.SqlglotError, RecursionError):
        return result.Success(_Kind.WRITE)
    return result.Success(_kind_of(parsed, word, sql))


def _check_text(sql: str) -> errors.Refusal | None:
    if '/*!' in sql:
        return errors.Refusal(
            kind=errors.RefusalKind.SYNTAX,
            message='comments that the server runs are refused; leave them out',
        )
    if _RESERVED_CALL.search(sql):
        return errors.Refusal(
            kind=errors.RefusalKind.ACCESS_DENIED,
            message=(
                'names that begin with group_ or fault_ are the '
                "system's own; use another name"
            ),
        )
    return _check_tokens(sql)


def _check_tokens(sql: str) -> errors.Refusal | None:
    if not sql.strip():
        return errors.Refusal(
            kind=errors.RefusalKind.SYNTAX,
            message='the statement is empty; send one statement',
        )
    if ';' not in sql.rstrip().rstrip(';'):
        return None
    try:
        found = sqlglot.tokenize(sql, dialect='mysql')
    except sqlglot_errors.SqlglotError as error:
        return errors.Refusal(
            kind=errors.RefusalKind.SYNTAX,
            message=f'the statement can not be read ({error}); correct it',
        )
    kinds = [token.token_type for token in found]
    while kinds and kinds[-1] is tokens.TokenType.SEMICOLON:
        kinds.pop()
    if tokens.TokenType.SEMICOLON not in kinds:
        return None
    return errors.Refusal(
        kind=errors.RefusalKind.MANY_STATEMENTS,
        message='several statements in one request; send them one by one',
    )


def _first_word(sql: str) -> str:
    text = sql
    while True:
        shorter = _LEADING_COMMENT.sub('', text, count=1)
        if shorter == text:
            break
        text = shorter
    found = _FIRST_WORD.match(text)
    return found.group(1).upper() if found else ''


def _kind_of(
    parsed: expressions.Expr,
    word: str,
    sql: str,
) -> identifiers.StatementKind:
    boundary = _BOUNDARIES.get(type(parsed))
    if boundary:
        return _Kind.WRITE if parsed.args.get('savepoint') else boundary
    if isinstance(parsed, expressions.Create):
        is_temporary = parsed.find(expressions.TemporaryProperty) is not None
        return _Kind.SESSION if is_temporary else _Kind.WRITE
    if word in {'SHOW', 'DESC', 'DESCRIBE', 'EXPLAIN'}:
        return _Kind.WRITE if _RUNS_PLAN.search(sql) else _Kind.READ
    if isinstance(parsed, expressions.Query):
        return _kind_of_query(parsed)
    return _Kind.WRITE


def _kind_of_query(query: expressions.Query) -> identifiers.StatementKind:
    writes = (
        expressions.Insert,
        expressions.Update,
        expressions.Delete,
        expressions.Lock,
        expressions.Into,
        expressions.Command,
    )
    if query.find(expressions.PropertyEQ):
        return _Kind.SESSION
    if query.find(*writes):
        return _Kind.WRITE
    names = {
        str(function.this).upper()
        for function in query.find_all(expressions.Anonymous)
    }
    if names & _LOCK_FUNCTIONS:
        return _Kind.SESSION
    return _Kind.READ if names <= _SAFE_FUNCTIONS else _Kind.WRITE


def is_last_insert_id(sql: str) -> bool:
    """Tell whether a statement only asks for the last insert id."""
    return bool(_LAST_INSERT_ID.match(sql))


_LAST_INSERT_ID: typing.Final = re.compile(
    r'^\s*SELECT\s+LAST_INSERT_ID\(\s*\)\s*;?\s*$',
    re.IGNORECASE,
)
