"""Logging: lines only for changes of state, as text or JSON."""

import sys
import typing

import logbook
import orjson

from egretstep import clock
from egretstep.observability import bounded_stream


class JsonFormatter:
    """Formats a log record as one JSON object on a line."""

    def __call__(
        self,
        record: logbook.LogRecord,
        handler: logbook.Handler,
    ) -> str:
        """Return the line for a record."""
        fields = {
            'time': record.time.isoformat(),
            'level': record.level_name,
            'channel': record.channel,
            'message': record.message,
            **record.extra,
        }
        if record.exc_info:
            fields['exception'] = record.formatted_exception
        return orjson.dumps(fields).decode()


def set_up(
    *,
    log_format: typing.Literal['text', 'json'] = 'text',
) -> None:
    """Send all log records to the standard error stream."""
    handler = logbook.StreamHandler(sys.stderr, level='INFO')
    if log_format == 'json':
        handler.formatter = JsonFormatter()
    handler.push_application()


def set_up_bounded() -> None:
    """Send all log records as JSON lines to standard output, never waiting."""
    stream = bounded_stream.BoundedStream(
        descriptor=sys.stdout.fileno(),
        time_source=clock.MonotonicClock(),
        note_dropped=_note_dropped,
    )
    handler = logbook.StreamHandler(stream, level='INFO')
    handler.formatter = JsonFormatter()
    handler.push_application()


def _note_dropped(count: int) -> str:
    return orjson.dumps({
        'channel': 'logs',
        'message': 'lines were dropped',
        'count': count,
    }).decode()
