"""Access to the rows of the store that hold claims."""

from egretstep.membership import claims, directory
from egretstep.storage import tables


class ClaimRows:
    """Reads and replaces the rows of tasks.

    The methods raise `errors.PlatformError` if the store fails, and
    `errors.ConflictError` if a row has changed since it was read.
    """

    def __init__(self, *, store: tables.Tables) -> None:
        self._store = store

    async def read(self, task: claims.TaskName) -> tables.Row:
        """Return the row of a task; its content is empty if there is none."""
        key = f'{claims.PREFIX}{task}'
        return await self._store.read_row(directory.TABLE, key)

    async def read_all(self) -> dict[str, tables.Row]:
        """Return the rows of all tasks, by key."""
        snapshot = await self._store.read(directory.TABLE, claims.PREFIX)
        return {row.key: row for row in snapshot.rows}

    async def replace(self, epoch: int, following: claims.Claim) -> bool:
        """Replace a claim; return false if its epoch is not the stored one."""
        row = await self.read(following.task)
        stored = claims.decode(row.content)
        if stored is None or stored.epoch != epoch:
            return False
        await self.swap(following.task, row.version, following)
        return True

    async def swap(
        self,
        task: claims.TaskName,
        version: tables.Version,
        claim: claims.Claim,
    ) -> None:
        """Replace the row of a task if it still has the given version."""
        await self._store.compare_and_swap(
            directory.TABLE,
            f'{claims.PREFIX}{task}',
            expected=version,
            content=claims.encode(claim),
        )
