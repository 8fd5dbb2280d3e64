"""Identifiers and small value types that every part of egretstep shares."""

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

OPEN_WORKSPACE = WorkspaceName('open')
NO_TERM = Term(0)
NO_VERSION = SettingsVersion(0)


class LogPosition(typing.NamedTuple):
    """Place in the replicated log of a database group.

    Positions compare by term first and index second. A server whose last
    entry is at or past an acknowledged position holds that entry, because a
    primary of a later term is always chosen with all acknowledged entries.

    >>> LogPosition(term=2, offset=1) > LogPosition(term=1, offset=9)
    True
    """

    term: int
    offset: int


LOG_START = LogPosition(term=0, offset=0)


class StatementKind(enum.Enum):
    """What a statement needs from the database group."""

    READ = 'read'
    WRITE = 'write'
    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    SESSION = 'session'


class Outcome(enum.Enum):
    """What is known of a request once its answer is given.

    DONE means that it ran and its answer is whole. FAILED means that the
    database server ran it and refused it with an error of its own. NOT_RUN
    means that it had no effect. UNKNOWN means that it may have run once.
    """

    DONE = 'done'
    FAILED = 'failed'
    NOT_RUN = 'notRun'
    UNKNOWN = 'unknown'
