"""Follows the id of a request through the log lines of all hosts.

Besides the lines of the request itself, the trail shows what the hosts came
to believe shortly before and after: changes of owners, primaries and configuration,
and the lines on hosts, servers and rates that the request's lines name.
"""

import dataclasses
import datetime
import typing

import orjson

BEFORE_SECONDS = 10.0
# A cause is often found out only when the request has ended.
AFTER_SECONDS = 3.0
_FLEET_CHANNELS = frozenset((
    'claiming',
    'configuration',
    'leases',
    'node',
    'primary',
    'succession',
))
_NAMED_CHANNELS = frozenset(('directory', 'grants', 'registry'))
_NAMING_FIELDS = ('host', 'server', 'workspace')
_OWN_FIELDS = frozenset(('time', 'level', 'channel', 'message', 'id'))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One structured line; `source` is the host or file that wrote it."""

    source: str
    time: datetime.datetime
    channel: str
    message: str
    request_id: str
    fields: typing.Mapping[str, typing.Any]

    def text(self) -> str:
        """Return the line for people."""
        fields = ' '.join(
            f'{name}={field}' for name, field in self.fields.items()
        )
        moment = self.time.time().isoformat(timespec='milliseconds')
        parts = (moment, self.source, self.channel, self.message, fields)
        return ' '.join(part for part in parts if part)


class LogReader:
    """Reads structured lines and counts those that are none."""

    def __init__(self) -> None:
        self.skipped = 0

    def read(
        self,
        source: str,
        lines: typing.Iterable[bytes | str],
    ) -> typing.Iterator[LogLine]:
        """Yield the lines of one host."""
        for line in lines:
            try:
                yield _parse(source, orjson.loads(line))
            except (KeyError, TypeError, ValueError):
                self.skipped += 1


def follow(
    lines: typing.Iterable[LogLine],
    request_id: str,
) -> list[LogLine]:
    """Return the trail of a request in the order of time.

    Returns nothing when no line has the id: a request that went well is
    counted, not logged.
    """
    known = sorted(lines, key=lambda line: line.time)
    own = [line for line in known if line.request_id == request_id]
    if not own:
        return []
    earliest = own[0].time - datetime.timedelta(seconds=BEFORE_SECONDS)
    latest = own[-1].time + datetime.timedelta(seconds=AFTER_SECONDS)
    names = _names(own)
    return [
        line
        for line in known
        if earliest <= line.time <= latest
        and (line.request_id == request_id or _is_belief(line, names))
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
            if name not in _OWN_FIELDS
        },
    )


def _names(own: typing.Iterable[LogLine]) -> frozenset[str]:
    return frozenset(
        line.fields[field]
        for line in own
        for field in _NAMING_FIELDS
        if line.fields.get(field)
    )


def _is_belief(line: LogLine, names: frozenset[str]) -> bool:
    if line.channel in _FLEET_CHANNELS:
        return True
    is_named = any(name in line.message for name in names)
    return line.channel in _NAMED_CHANNELS and is_named
