"""Set-up of logging, as text or JSON lines.

Programs log changes of state, not each request.
"""

import sys
import typing

import logbook
import orjson

from egretstep import clock
from egretstep.observability import bounded_stream


class JsonFormatter:
    """Formats a log record as one line with a JSON object."""

    def __call__(
        self,
        record: logbook.LogRecord,
        handler: logbook.Handler,
    ) -> str:
        """Return the line for a record, without a line end."""
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
    """Write log records of level INFO and above to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level='INFO')
    if log_format == 'json':
        handler.formatter = JsonFormatter()
    handler.push_application()


def set_up_bounded() -> None:
    """Write log records as JSON lines to standard output, without blocking.

    Lines that would block or exceed the rate limit are dropped and counted.
    """
    stream = bounded_stream.BoundedStream(
        descriptor=sys.stdout.fileno(),
        time_source=clock.MonotonicClock(),
        format_drop_notice=_format_drop_notice,
    )
    handler = logbook.StreamHandler(stream, level='INFO')
    handler.formatter = JsonFormatter()
    handler.push_application()


def _format_drop_notice(count: int) -> str:
    return orjson.dumps({
        'channel': 'logs',
        'message': 'lines were dropped',
        'count': count,
    }).decode()
