"""Interface to the versioned tables of the platform's store.

The store is outside the fleet. It holds the state that must survive the hosts
or that the hosts must agree on.
"""

import dataclasses
import typing

from egretstep import errors

LONGEST_WAIT_SECONDS = 20.0
ABSENT_VERSION = 0
"""The version of a row that does not exist."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row of a table; `is_deleted` marks one deleted at `version`."""

    key: str
    content: bytes
    version: int
    is_deleted: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """Rows of a table, or changes of it, at a version of the store.

    `keys`, if given, holds the keys of all existing rows; every other row was
    deleted. Without it, `rows` lists the deleted rows as such.
    """

    rows: tuple[Row, ...]
    version: int
    keys: frozenset[str] | None = None


class HistoryGoneError(errors.PlatformError):
    """The store no longer has the changes since a version."""


class Tables(typing.Protocol):
    """The platform's store.

    All methods raise `errors.PlatformError` if the store does not answer or
    refuses the call. A write without an answer may take effect later.
    """

    async def read(self, table: str, prefix: str = '') -> Snapshot:
        """Return all rows whose keys start with `prefix`."""

    async def read_row(self, table: str, key: str) -> Row:
        """Return a row; the version of a missing row is `ABSENT_VERSION`."""

    async def changes(
        self,
        table: str,
        after: int,
        *,
        longest_wait: float = LONGEST_WAIT_SECONDS,
    ) -> Snapshot:
        """Return the rows that changed after a version.

        Waits up to `longest_wait` seconds for a change and then returns no
        rows. Raises `HistoryGoneError` if the whole table must be read again.
        """

    async def compare_and_swap(
        self,
        table: str,
        key: str,
        *,
        expected: int,
        content: bytes | None,
    ) -> int:
        """Replace a row of the version `expected`; return the new version.

        The row is deleted if `content` is None. Raises `errors.ConflictError`
        if the row has another version.
        """
