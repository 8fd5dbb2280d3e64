"""Connections that are pinned to one caller.

A pin lasts until the end of a transaction, or, when the caller changed the
session state, as long as the caller stays connected.
"""

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

    `tainted` means that the caller changed the session state, so that the
    connection must not be reused for another caller. `busy` is true while a
    statement runs, so that a caller can't run two statements at once.
    """

    connection: database.ServerConnection
    source: connections.ServerConnections
    term: identifiers.Term
    server: identifiers.ServerName
    tainted: bool = False
    busy: bool = False

    @property
    def is_needed(self) -> bool:
        """Tell whether the caller's state exists only on this connection."""
        return self.connection.is_usable and (
            self.tainted or self.connection.in_transaction
        )


class PinTable:
    """The pins of one database, by link and caller."""

    def __init__(self) -> None:
        self._pins: dict[PinKey, Pin] = {}

    def __len__(self) -> int:
        """Return how many connections are pinned."""
        return len(self._pins)

    def get(self, key: PinKey) -> Pin | None:
        """Return the pin of a caller, or None."""
        return self._pins.get(key)

    def add(self, key: PinKey, pin: Pin) -> None:
        """Record the pin of a caller."""
        self._pins[key] = pin

    async def drop(self, key: PinKey) -> None:
        """Roll back a pin's transaction and release its connection.

        A tainted or busy connection is closed.
        """
        pin = self._pins.pop(key, None)
        if pin is None:
            return
        if pin.tainted or pin.busy:
            pin.connection.close()
        await pin.source.release(pin.connection)

    async def drop_link(self, link: LinkId) -> None:
        """Drop all pins of a link whose program has disconnected."""
        for key in tuple(self._pins):
            if key[0] == link:
                await self.drop(key)

    async def drop_all(self) -> None:
        """Drop all pins, because this host no longer owns the database."""
        for key in list(self._pins):
            await self.drop(key)

    def keys_before(self, term: identifiers.Term) -> list[PinKey]:
        """Return the keys of the pins that belong to an earlier term."""
        return [key for key, pin in self._pins.items() if pin.term < term]
