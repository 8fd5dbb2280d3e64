"""Logging: lines only for changes of state, as text or JSON."""

import sys
import typing

import logbook
import orjson


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
        }
        if record.exc_info:
            fields['exception'] = record.formatted_exception
        return orjson.dumps(fields).decode()


STANDARD_OUTPUT = sys.stdout
STANDARD_ERROR = sys.stderr


def set_up(
    *,
    log_format: typing.Literal['text', 'json'] = 'text',
    stream: typing.TextIO = STANDARD_ERROR,
) -> None:
    """Send all log records to a stream."""
    handler = logbook.StreamHandler(stream, level='INFO')
    if log_format == 'json':
        handler.formatter = JsonFormatter()
    handler.push_application()
