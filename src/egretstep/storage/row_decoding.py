"""Decodes the rows of a table, each version of a row only once.

A watch of a table publishes all rows after every change of one. A malformed
row is therefore also logged only once.
"""

import typing

from egretstep.storage import tables

Decoded = typing.TypeVar('Decoded')


class RowDecoder(typing.Generic[Decoded]):
    """Decodes rows whose keys begin with a prefix, and keeps the results.

    `decode` returns None for a malformed row, which is left out.
    """

    def __init__(
        self,
        *,
        decode: typing.Callable[[tables.Row], Decoded | None],
        prefix: str = '',
    ) -> None:
        self._decode = decode
        self._prefix = prefix
        self._known: dict[str, tuple[tables.Version, Decoded | None]] = {}

    def decode(
        self, rows: typing.Mapping[str, tables.Row]
    ) -> tuple[Decoded, ...]:
        """Return what the rows hold, without malformed rows."""
        self._known = {
            key: self._decode_once(row)
            for key, row in rows.items()
            if key.startswith(self._prefix)
        }
        return tuple(
            decoded
            for _, decoded in self._known.values()
            if decoded is not None
        )

    def _decode_once(
        self, row: tables.Row
    ) -> tuple[tables.Version, Decoded | None]:
        known = self._known.get(row.key)
        if known is not None and known[0] == row.version:
            return known
        return row.version, self._decode(row)
