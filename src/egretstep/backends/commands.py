"""Statements of a session, with session values and prepared statements."""

import dataclasses
import enum


class Action(enum.Enum):
    """Kind of a statement; the numbers are sent between hosts."""

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
    """A prepared statement: its shape, and whether it writes."""

    shape: bytes
    is_write: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Command:
    """One parsed statement.

    `text` is the caller's text, which is sent to servers unchanged. `name` is
    the name of a session value or prepared statement, and `argument` is the
    rest after the name. `prepared` is the prepared statement that an EXECUTE
    refers to.
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
