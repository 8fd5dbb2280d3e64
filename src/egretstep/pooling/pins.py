"""Connections that belong to one caller, for a transaction or for good."""

import dataclasses
import typing

from egretstep import identifiers
from egretstep.backends import mysql as database
from egretstep.pooling import connections

LinkId = typing.NewType('LinkId', int)
PinKey = tuple[LinkId, identifiers.PinId]


@dataclasses.dataclass(slots=True, kw_only=True)
class Pin:
    """A connection to the primary that only one caller may use.

    `tainted` says that the session state was changed, so that the
    connection must not serve another caller afterwards. `busy` guards
    against two statements of one caller at once.
    """

    connection: database.ServerConnection
    source: connections.ServerConnections
    term: identifiers.Term
    server: identifiers.ServerName
    tainted: bool = False
    busy: bool = False

    @property
    def is_needed(self) -> bool:
        """Tell whether the caller still needs this very connection."""
        return self.connection.is_usable and (
            self.tainted or self.connection.in_transaction
        )


class PinTable:
    """The pins of one database, by the link and caller that hold them."""

    def __init__(self) -> None:
        self._pins: dict[PinKey, Pin] = {}

    def __len__(self) -> int:
        """Return how many connections are pinned."""
        return len(self._pins)

    def get(self, key: PinKey) -> Pin | None:
        """Return the pin of a caller."""
        return self._pins.get(key)

    def add(self, key: PinKey, pin: Pin) -> None:
        """Keep a new pin."""
        self._pins[key] = pin

    async def drop(self, key: PinKey) -> None:
        """End a pin: roll its transaction back and free its connection."""
        pin = self._pins.pop(key, None)
        if pin is None:
            return
        if pin.tainted or pin.busy:
            pin.connection.close()
        await pin.source.release(pin.connection)

    async def drop_link(self, link: LinkId) -> None:
        """End all pins of a link, because its program is gone."""
        for key in tuple(self._pins):
            if key[0] == link:
                await self.drop(key)

    async def drop_all(self) -> None:
        """End all pins, because this host no longer owns the database."""
        for key in list(self._pins):
            await self.drop(key)

    def keys_before(self, term: identifiers.Term) -> list[PinKey]:
        """Return the callers whose pins belong to an earlier term."""
        return [key for key, pin in self._pins.items() if pin.term < term]
