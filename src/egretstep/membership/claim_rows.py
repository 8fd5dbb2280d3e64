"""Access to the rows of the store that hold claims."""

import dataclasses

from egretstep.membership import claims, directory
from egretstep.storage import tables


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredClaim:
    """The stored claim of a task, None without one, and its row's version."""

    claim: claims.Claim | None
    version: tables.Version

    @property
    def era(self) -> int:
        """Return the era of the store in which the row was read."""
        return self.version.era

    def is_later_than(self, claim: claims.Claim) -> bool:
        """Return whether the stored claim replaces another one."""
        return (
            self.claim is not None and self.claim.precedence > claim.precedence
        )


class ClaimRows:
    """Reads and replaces the rows of tasks.

    The methods raise `errors.PlatformError` if the store fails, and
    `errors.ConflictError` if a row has changed since it was read.
    """

    def __init__(self, *, store: tables.Tables) -> None:
        self._store = store

    async def read(self, task: claims.TaskName) -> StoredClaim:
        """Return the stored claim of a task."""
        row = await self._store.read_row(directory.TABLE, _row_key(task))
        return StoredClaim(claim=claims.decode_row(row), version=row.version)

    async def read_all(self) -> tables.Snapshot:
        """Return the rows of all tasks."""
        return await self._store.read(directory.TABLE, claims.PREFIX)

    async def replace(self, following: claims.Claim) -> bool:
        """Replace a claim; return false if a later one is stored.

        An earlier epoch may be stored after a restore of the store.
        """
        stored = await self.read(following.task)
        if stored.is_later_than(following):
            return False
        await self.swap(stored.version, following)
        return True

    async def swap(
        self,
        version: tables.Version,
        claim: claims.Claim,
    ) -> tables.Version:
        """Replace the row of a task if it still has the given version.

        Returns its new version.
        """
        return await self._store.compare_and_swap(
            directory.TABLE,
            _row_key(claim.task),
            expected=version,
            content=claims.encode(claim),
        )


def _row_key(task: claims.TaskName) -> str:
    return f'{claims.PREFIX}{task}'
