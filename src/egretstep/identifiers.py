"""Identifiers and value types that all packages of egretstep share."""

import enum
import typing

HostName = typing.NewType('HostName', str)
ZoneName = typing.NewType('ZoneName', str)
WorkspaceName = typing.NewType('WorkspaceName', str)
DatabaseName = typing.NewType('DatabaseName', str)
ServerName = typing.NewType('ServerName', str)
SessionId = typing.NewType('SessionId', str)
RequestId = typing.NewType('RequestId', int)
RequestKey = typing.NewType('RequestKey', str)
PinId = typing.NewType('PinId', int)
Term = typing.NewType('Term', int)
SettingsVersion = typing.NewType('SettingsVersion', int)

# The workspace of callers without a key, where none is needed.
ANONYMOUS_WORKSPACE = WorkspaceName('open')
NO_TERM = Term(0)
NO_VERSION = SettingsVersion(0)


class LogPosition(typing.NamedTuple):
    """Position in the replicated log of a database group.

    Positions compare by term first and offset second. A server whose last
    entry is at or after an acknowledged position has the acknowledged entry,
    because a primary of a later term is always elected among servers that
    have all acknowledged entries.

    >>> LogPosition(term=2, offset=1) > LogPosition(term=1, offset=9)
    True
    """

    term: int
    offset: int


LOG_START = LogPosition(term=0, offset=0)


class StatementKind(enum.Enum):
    """How a statement has to be routed and executed."""

    READ = 'read'
    WRITE = 'write'
    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    SESSION = 'session'


class Outcome(enum.Enum):
    """Whether a request has run, as its answer tells.

    DONE means that it ran and its answer is complete. FAILED means that the
    database server answered it with an error. NOT_RUN means that it had no
    effect. UNKNOWN means that it may have run once.
    """

    DONE = 'done'
    FAILED = 'failed'
    NOT_RUN = 'notRun'
    UNKNOWN = 'unknown'
