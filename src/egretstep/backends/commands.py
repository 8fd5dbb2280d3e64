"""Statements of a session protocol with items, values and prepared names."""

import dataclasses
import enum


class Action(enum.Enum):
    """What a statement asks for."""

    READ = 0
    WRITE = 1
    EXECUTE = 2
    BEGIN = 3
    BEGIN_READ = 4
    COMMIT = 5
    ROLLBACK = 6
    SET = 7
    PREPARE = 8
    DEALLOCATE = 9
    UNKNOWN = 10


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prepared:
    """The shape of a prepared statement, and whether it writes."""

    shape: bytes
    is_write: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Command:
    """One statement.

    `text` is the caller's own, which servers must get unchanged. `name` is
    that of a session value or prepared statement and `argument` what
    follows it. `prepared` is the shape that an EXECUTE refers to.
    """

    action: Action
    text: bytes
    name: bytes = b''
    argument: bytes = b''
    prepared: Prepared | None = None

    @property
    def is_write(self) -> bool:
        """Tell whether the statement changes data."""
        if self.prepared is not None:
            return self.prepared.is_write
        return self.action is Action.WRITE

    @property
    def begins(self) -> bool:
        """Tell whether the statement opens a transaction."""
        return self.action in {Action.BEGIN, Action.BEGIN_READ}


BEGIN = Command(action=Action.BEGIN, text=b'BEGIN')
BEGIN_READ = Command(action=Action.BEGIN_READ, text=b'BEGIN READ')
