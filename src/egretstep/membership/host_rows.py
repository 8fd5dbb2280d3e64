"""Access to the rows of the store that hold hosts."""

import dataclasses

from egretstep import errors
from egretstep.membership import directory, fencing
from egretstep.storage import tables

WRITE_FAILURES = (errors.PlatformError, errors.ConflictError)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingRegistration:
    """A starting host, and the fleet table as read before its registration.

    `replaces` is the version of the stored row that the registration of this
    host will replace.
    """

    own: directory.Host
    fleet: tables.Snapshot
    replaces: tables.Version


class Registration:
    """Writes a host's own row in the store.

    The methods raise `errors.PlatformError` if the store fails, and
    `errors.ConflictError` if the row was changed by another writer.
    """

    def __init__(self, *, store: tables.Tables) -> None:
        self._store = store

    async def start(self, starting: directory.Host) -> PendingRegistration:
        """Read the fleet table and give the host its next boot number."""
        fleet = await self._store.read(directory.TABLE)
        key = directory.PREFIX + starting.host
        missing = tables.absent_version(fleet.version.era)
        stored = tables.Row(key=key, content=b'', version=missing)
        for row in fleet.rows:
            if row.key == key:
                stored = row
        former = directory.decode_row(stored) if stored.content else None
        boot = fencing.next_number(
            former.boot if former else 0, fleet.version.era
        )
        return PendingRegistration(
            own=dataclasses.replace(starting, boot=boot),
            fleet=fleet,
            replaces=stored.version,
        )

    async def register(self, started: PendingRegistration) -> directory.Host:
        """Write the row of a host and return the host as registered.

        If the row has changed meanwhile, the host gets a greater boot number
        than the stored one. The change can come from a delayed write of an
        earlier process, or from an earlier call whose answer was lost.
        """
        own = started.own
        try:
            await self._store.compare_and_swap(
                directory.TABLE,
                directory.PREFIX + own.host,
                expected=started.replaces,
                content=directory.encode(own),
            )
        except errors.ConflictError:
            stored = await self._read(own)
            former = directory.decode_row(stored)
            boot = fencing.next_number(
                former.boot if former else own.boot - 1, stored.version.era
            )
            own = dataclasses.replace(own, boot=boot)
            await self._put(stored, own)
        return own

    async def change(
        self, own: directory.Host, state: directory.HostState
    ) -> None:
        """Write a host with another state over whatever row is stored."""
        stored = await self._read(own)
        await self._put(stored, dataclasses.replace(own, state=state))

    async def write_again(self, host: directory.Host) -> bool:
        """Write a row that the store has lost; return false if it has not."""
        stored = await self._read(host)
        former = directory.decode_row(stored) if stored.content else None
        if former is not None and former.precedence >= host.precedence:
            return False
        await self._put(stored, host)
        return True

    async def _read(self, host: directory.Host) -> tables.Row:
        return await self._store.read_row(
            directory.TABLE, directory.PREFIX + host.host
        )

    async def _put(self, stored: tables.Row, host: directory.Host) -> None:
        await self._store.compare_and_swap(
            directory.TABLE,
            stored.key,
            expected=stored.version,
            content=directory.encode(host),
        )
