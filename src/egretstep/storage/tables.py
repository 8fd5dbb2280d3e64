"""Interface to the versioned tables of the platform's store.

The store is outside the fleet. It holds the state that must survive the hosts
or that the hosts must agree on. It may be restored from a copy that lacks its
latest writes. Then a new era begins, in which version numbers of the former
era are given out again.
"""

import dataclasses
import typing

from egretstep import errors

LONGEST_WAIT_SECONDS = 20.0
# How long after its wait a poll may be answered.
POLL_ANSWER_SECONDS = 0.5
_ABSENT_NUMBER = 0


class Version(typing.NamedTuple):
    """A version of the store: its era, and a number that grows within the era.

    A version of a later era is later, whatever its number.

    >>> Version(era=2, number=28) > Version(era=1, number=29)
    True
    """

    era: int
    number: int

    @property
    def is_absent(self) -> bool:
        """Return whether this is the version of a row that does not exist."""
        return self.number == _ABSENT_NUMBER

    def __str__(self) -> str:
        """Return the number and the era."""
        return f'{self.number} of era {self.era}'


NO_VERSION = Version(era=0, number=_ABSENT_NUMBER)
"""A version before all versions of the store."""


def absent_version(era: int) -> Version:
    """Return the version of a row that does not exist in an era."""
    return Version(era=era, number=_ABSENT_NUMBER)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row of a table; `is_deleted` marks one deleted at `version`."""

    key: str
    content: bytes
    version: Version
    is_deleted: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """Rows of a table, or changes of it, at a version of the store.

    `keys`, if given, holds the keys of all existing rows; every other row was
    deleted. Without it, `rows` lists the deleted rows as such.
    """

    rows: tuple[Row, ...]
    version: Version
    keys: frozenset[str] | None = None


class HistoryGoneError(errors.PlatformError):
    """The store no longer has the changes since a version."""


class PollEndedError(errors.PlatformError):
    """Another call shows that the store may never answer this poll."""


class Tables(typing.Protocol):
    """The platform's store.

    All methods raise `errors.PlatformError` if the store does not answer or
    refuses the call. A write without an answer may take effect later.
    """

    async def read(self, table: str, prefix: str = '') -> Snapshot:
        """Return all rows whose keys start with `prefix`."""

    async def read_row(self, table: str, key: str) -> Row:
        """Return a row; the version of a missing row `is_absent`."""

    async def changes(
        self,
        table: str,
        after: Version,
        *,
        longest_wait: float = LONGEST_WAIT_SECONDS,
    ) -> Snapshot:
        """Return the rows that changed after a version.

        Waits up to `longest_wait` seconds for a change and then returns no
        rows. Raises `HistoryGoneError` if the whole table must be read again,
        which is so after a change of the era, and `PollEndedError` if the
        changes should be requested again at once.
        """

    async def compare_and_swap(
        self,
        table: str,
        key: str,
        *,
        expected: Version,
        content: bytes | None,
    ) -> Version:
        """Replace a row of the version `expected`; return the new version.

        The row is deleted if `content` is None. Raises `errors.ConflictError`
        if the row has another version. If the era changes meanwhile, the
        outcome is unknown and `errors.PlatformError` is raised.
        """
