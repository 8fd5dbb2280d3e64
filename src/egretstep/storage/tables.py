"""Tables of rows with versions, kept outside the fleet.

The product keeps there what must last or be agreed on.
"""

import dataclasses
import typing

from egretstep import errors

LONGEST_WAIT_SECONDS = 20.0
ABSENT = 0
"""The version of a row that does not exist."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row; `is_deleted` marks one that was dropped at this version."""

    key: str
    content: bytes
    version: int
    is_deleted: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """Rows of a table as of a version of the store.

    `keys` names all rows that there are, where rows that are not listed may
    have been dropped; without it, dropped rows are listed as such.
    """

    rows: tuple[Row, ...]
    version: int
    keys: frozenset[str] | None = None


class HistoryGoneError(errors.PlatformError):
    """The store no longer knows what changed since a version."""


class Tables(typing.Protocol):
    """The platform's store.

    All methods raise `errors.PlatformError` when no answer comes or the
    store refuses; a write without an answer may take effect later.
    """

    async def read(self, table: str, prefix: str = '') -> Snapshot:
        """Return all rows whose keys begin with a prefix."""

    async def read_row(self, table: str, key: str) -> Row:
        """Return a row; one that does not exist has the version `ABSENT`."""

    async def changes(
        self,
        table: str,
        after: int,
        *,
        longest_wait: float = LONGEST_WAIT_SECONDS,
    ) -> Snapshot:
        """Wait some seconds for rows that changed after a version.

        Returns no rows when nothing has changed for a while. Raises
        `HistoryGoneError` when the table must be read anew.
        """

    async def swap(
        self,
        table: str,
        key: str,
        *,
        expected: int,
        content: bytes | None,
    ) -> int:
        """Replace a row of a version, or delete it; return the new version.

        Raises `errors.ConflictError` when the row has another version.
        """
