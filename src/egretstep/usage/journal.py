"""The reports in the store: one content for each window.

The rows form a ring: a window's report replaces that of `RING_ROWS` windows
before, by a write on the condition that the row has not changed since it was
read. So the report of a window is written once, old ones need no deletion, and
a write that takes effect late changes nothing.
"""

import dataclasses
import typing

import logbook
import orjson

from egretstep import errors, json_fields
from egretstep.storage import tables

TABLE = 'usage'
RING_ROWS = 64
_logger = logbook.Logger('usage')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """The usage of a window, as composed by the holder of an epoch.

    `counts` holds statements by workspace. The platform had accepted the
    reports up to the window `accepted_until` when this one was composed.
    """

    window: int
    counts: typing.Mapping[str, int]
    epoch: int
    accepted_until: int


class ReportJournal:
    """Reads and writes the recorded reports.

    The methods raise `errors.PlatformError` if the store fails. A write may
    then have taken effect, or take effect later.
    """

    def __init__(self, *, store: tables.Tables) -> None:
        self._store = store

    async def read_all(self) -> list[Report]:
        """Return the recorded reports, the oldest first."""
        snapshot = await self._store.read(TABLE)
        reports = [_decode(row) for row in snapshot.rows]
        return sorted(
            (each for each in reports if each is not None),
            key=lambda report: report.window,
        )

    async def record(self, report: Report) -> Report | None:
        """Record a report and return what is recorded for its window.

        That is another report if one was recorded before. None means that the
        row already holds the report of a later window, so that this one is
        too old to be sent. Raises `errors.ConflictError` if another host
        writes at the same time.
        """
        key = row_key(report.window)
        row = await self._store.read_row(TABLE, key)
        stored = _decode(row)
        if stored is not None and stored.window >= report.window:
            return stored if stored.window == report.window else None
        await self._store.compare_and_swap(
            TABLE,
            key,
            expected=row.version,
            content=orjson.dumps(dataclasses.asdict(report)),
        )
        return report


def row_key(window: int) -> str:
    """Return the key of the row for the report of a window."""
    return f'report/{window % RING_ROWS:02}'


def _decode(row: tables.Row) -> Report | None:
    if not row.content:
        return None
    try:
        report = _decode_fields(json_fields.JsonFields.decode(row.content))
    except errors.MalformedFieldError as error:
        _logger.warning('malformed report in row {}: {}', row.key, error)
        return None
    return report if row_key(report.window) == row.key else None


def _decode_fields(fields: json_fields.JsonFields) -> Report:
    counts = fields.nested('counts')
    return Report(
        window=fields.integer('window'),
        counts={name: counts.integer(name) for name in counts.names()},
        epoch=fields.integer('epoch'),
        accepted_until=fields.integer('accepted_until'),
    )
