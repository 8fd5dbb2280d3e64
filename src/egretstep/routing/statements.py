"""Classifies statements as reads, writes and others, with a cache.

A statement that can't be proved to be a read counts as a write. The cache
is keyed by the shape of a statement, which is its text with the literals
replaced. A cached shape costs one substitution and one look-up; a new one
is parsed in a thread.
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

MAX_CACHED_SHAPES = 8192
MAX_PARSED_CHARACTERS = 65_536
_Kind = identifiers.StatementKind
_LITERALS = re.compile(r"'(?:[^'\\]|'')*'|\b\d+(?:\.\d+)?\b")
_UNSAFE_FOR_SHAPE = re.compile(r'[\\"`#]|--|/\*')
_LEADING_COMMENT = re.compile(r'^\s*/\*(?!!).*?\*/', re.DOTALL)
_FIRST_WORD = re.compile(r'^[\s(]*([A-Za-z]+)')
_EXPLAIN_ANALYZE = re.compile(r'^\W*\w+\s+ANALYZE\b', re.IGNORECASE)
_RESERVED_CALL = re.compile(r'\b(?:group|fault)_\w+\s*\(', re.IGNORECASE)
_TRANSACTION_STATEMENTS: dict[
    type[expressions.Expr], identifiers.StatementKind
] = {
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
# No side effects. Other functions that sqlglot doesn't know may write.
_READ_ONLY_FUNCTIONS = frozenset((
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

# sqlglot logs a warning for each statement that it can't parse.
logging.getLogger('sqlglot').setLevel(logging.ERROR)

Classified = result.Result[identifiers.StatementKind, errors.Refusal]


class StatementClassifier:
    """Classifies statements and caches the result by their shape.

    >>> classifier = StatementClassifier()
    >>> classifier.classify_sync('SELECT * FROM loans WHERE id = 7').unwrap()
    <StatementKind.READ: 'read'>
    """

    def __init__(self, *, capacity: int = MAX_CACHED_SHAPES) -> None:
        self._capacity = capacity
        self._shapes: collections.OrderedDict[str, Classified] = (
            collections.OrderedDict()
        )

    async def classify(self, sql: str) -> Classified:
        """Return the kind of a statement, or its refusal."""
        shape = shape_of(sql)
        classified = self._shapes.get(shape)
        if classified is None:
            classified = await asyncio.to_thread(classify_text, sql)
            self._remember(shape, classified)
        return classified

    def classify_sync(self, sql: str) -> Classified:
        """Return the same as `classify`, but parse in the calling thread."""
        shape = shape_of(sql)
        classified = self._shapes.get(shape)
        if classified is None:
            classified = classify_text(sql)
            self._remember(shape, classified)
        return classified

    def _remember(self, shape: str, classified: Classified) -> None:
        if len(shape) > MAX_PARSED_CHARACTERS:
            return
        self._shapes[shape] = classified
        while len(self._shapes) > self._capacity:
            self._shapes.popitem(last=False)


def shape_of(sql: str) -> str:
    """Return the text with each literal replaced by a question mark.

    A text with comments, escapes or quoted names is its own shape, because
    a quote in it does not always begin a literal.
    """
    if _UNSAFE_FOR_SHAPE.search(sql):
        return sql
    return _LITERALS.sub('?', sql)


def classify_text(sql: str) -> Classified:
    """Return the kind of a statement, or its refusal, without the cache.

    A statement that is too long or that the parser rejects is a write.
    """
    refusal = _find_refusal(sql)
    if refusal:
        return result.Failure(refusal)
    first_word = _first_word(sql)
    if first_word in _SESSION_WORDS:
        return result.Success(_Kind.SESSION)
    if len(sql) > MAX_PARSED_CHARACTERS:
        return result.Success(_Kind.WRITE)
    try:
        parsed = sqlglot.parse_one(sql, dialect='mysql')
    except (sqlglot_errors.SqlglotError, RecursionError):
        return result.Success(_Kind.WRITE)
    return result.Success(_kind_of(parsed, first_word, sql))


def _find_refusal(sql: str) -> errors.Refusal | None:
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
    return _find_token_refusal(sql)


def _find_token_refusal(sql: str) -> errors.Refusal | None:
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
    token_types = [token.token_type for token in found]
    while token_types and token_types[-1] is tokens.TokenType.SEMICOLON:
        token_types.pop()
    if tokens.TokenType.SEMICOLON not in token_types:
        return None
    return errors.Refusal(
        kind=errors.RefusalKind.MANY_STATEMENTS,
        message='several statements in one request; send them one by one',
    )


def _first_word(sql: str) -> str:
    text = sql
    while True:
        stripped = _LEADING_COMMENT.sub('', text, count=1)
        if stripped == text:
            break
        text = stripped
    found = _FIRST_WORD.match(text)
    return found.group(1).upper() if found else ''


def _kind_of(
    parsed: expressions.Expr,
    first_word: str,
    sql: str,
) -> identifiers.StatementKind:
    transaction_kind = _TRANSACTION_STATEMENTS.get(type(parsed))
    if transaction_kind:
        return _Kind.WRITE if parsed.args.get('savepoint') else transaction_kind
    if isinstance(parsed, expressions.Create):
        is_temporary = parsed.find(expressions.TemporaryProperty) is not None
        return _Kind.SESSION if is_temporary else _Kind.WRITE
    if first_word in {'SHOW', 'DESC', 'DESCRIBE', 'EXPLAIN'}:
        return _Kind.WRITE if _EXPLAIN_ANALYZE.search(sql) else _Kind.READ
    if isinstance(parsed, expressions.Query):
        return _kind_of_query(parsed)
    return _Kind.WRITE


def _kind_of_query(query: expressions.Query) -> identifiers.StatementKind:
    writing_nodes = (
        expressions.Insert,
        expressions.Update,
        expressions.Delete,
        expressions.Lock,
        expressions.Into,
        expressions.Command,
    )
    if query.find(expressions.PropertyEQ):
        return _Kind.SESSION
    if query.find(*writing_nodes):
        return _Kind.WRITE
    called_names = {
        str(function.this).upper()
        for function in query.find_all(expressions.Anonymous)
    }
    if called_names & _LOCK_FUNCTIONS:
        return _Kind.SESSION
    return _Kind.READ if called_names <= _READ_ONLY_FUNCTIONS else _Kind.WRITE


def is_last_insert_id(sql: str) -> bool:
    """Tell whether a statement is exactly `SELECT LAST_INSERT_ID()`."""
    return bool(_LAST_INSERT_ID.match(sql))


_LAST_INSERT_ID: typing.Final = re.compile(
    r'^\s*SELECT\s+LAST_INSERT_ID\(\s*\)\s*;?\s*$',
    re.IGNORECASE,
)
