"""Collects the log lines of all hosts that explain one request.

Besides the lines with the id of the request, the trail contains lines from
shortly before and after: changes of owners, primaries and configuration, and
lines about the hosts, servers and workspaces that the request's lines name.
"""

import dataclasses
import datetime
import typing

import orjson

LOOKBACK_SECONDS = 10.0
# Hosts often detect the cause only after the request has ended.
LOOKAHEAD_SECONDS = 3.0
_CHANNELS_OF_FLEET_STATE = frozenset((
    'claiming',
    'configuration',
    'leases',
    'node',
    'primary',
    'succession',
))
_CHANNELS_OF_NAMED_OBJECTS = frozenset(('directory', 'grants', 'registry'))
_NAMING_FIELDS = ('host', 'server', 'workspace')
_STANDARD_FIELDS = frozenset(('time', 'level', 'channel', 'message', 'id'))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One structured line; `source` is the host or file that it is from."""

    source: str
    time: datetime.datetime
    channel: str
    message: str
    request_id: str
    fields: typing.Mapping[str, typing.Any]

    def text(self) -> str:
        """Return the line as readable text."""
        fields = ' '.join(
            f'{name}={field}' for name, field in self.fields.items()
        )
        moment = self.time.time().isoformat(timespec='milliseconds')
        parts = (moment, self.source, self.channel, self.message, fields)
        return ' '.join(part for part in parts if part)


class LogReader:
    """Parses JSON log lines; `skipped` counts the lines that are malformed."""

    def __init__(self) -> None:
        self.skipped = 0

    def read(
        self,
        source: str,
        lines: typing.Iterable[bytes | str],
    ) -> typing.Iterator[LogLine]:
        """Yield the lines of one source, without the malformed ones."""
        for line in lines:
            try:
                yield _parse(source, orjson.loads(line))
            except (KeyError, TypeError, ValueError):
                self.skipped += 1


def find_trail(
    lines: typing.Iterable[LogLine],
    request_id: str,
) -> list[LogLine]:
    """Return the log trail of a request, ordered by time.

    Returns an empty list when no line has the id: a request that succeeded
    in time is not logged.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    own_lines = [line for line in ordered if line.request_id == request_id]
    if not own_lines:
        return []
    earliest = own_lines[0].time - datetime.timedelta(seconds=LOOKBACK_SECONDS)
    latest = own_lines[-1].time + datetime.timedelta(seconds=LOOKAHEAD_SECONDS)
    names = _named_objects(own_lines)
    return [
        line
        for line in ordered
        if earliest <= line.time <= latest
        and (line.request_id == request_id or _is_context(line, names))
    ]


def _parse(source: str, record: dict[str, typing.Any]) -> LogLine:
    return LogLine(
        source=source,
        time=datetime.datetime.fromisoformat(record['time']),
        channel=record['channel'],
        message=record['message'],
        request_id=record.get('id', ''),
        fields={
            name: field
            for name, field in record.items()
            if name not in _STANDARD_FIELDS
        },
    )


def _named_objects(own_lines: typing.Iterable[LogLine]) -> frozenset[str]:
    return frozenset(
        line.fields[field]
        for line in own_lines
        for field in _NAMING_FIELDS
        if line.fields.get(field)
    )


def _is_context(line: LogLine, names: frozenset[str]) -> bool:
    if line.channel in _CHANNELS_OF_FLEET_STATE:
        return True
    is_named = any(name in line.message for name in names)
    return line.channel in _CHANNELS_OF_NAMED_OBJECTS and is_named
