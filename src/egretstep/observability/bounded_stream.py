"""Log stream that never blocks the process and limits its rate."""

import os
import typing

from egretstep import clock

MAX_LINES_PER_SECOND = 200
MAX_BURST_LINES = 400
MAX_LINE_BYTES = 4000


class BoundedStream:
    """Writes lines to a file descriptor, or drops and counts them.

    A line is dropped when it exceeds the rate, or when the pipe is full, so
    that writing it would block. The next line that is written is preceded by
    a notice of how many were dropped, which `format_drop_notice` returns
    without a line end.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        time_source: clock.Clock,
        format_drop_notice: typing.Callable[[int], str],
    ) -> None:
        self._descriptor = descriptor
        self._clock = time_source
        self._format_drop_notice = format_drop_notice
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at = time_source.now()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped since the last notice of it."""
        return self._dropped

    def write(self, text: str) -> None:
        """Write one line that ends in a line end, or count it as dropped."""
        if not self._take_token():
            self._dropped += 1
            return
        if self._dropped and self._try_write(
            f'{self._format_drop_notice(self._dropped)}\n'
        ):
            self._dropped = 0
        if not self._try_write(text):
            self._dropped += 1

    def flush(self) -> None:
        """Do nothing, since lines are not buffered."""

    def _take_token(self) -> bool:
        now = self._clock.now()
        refill = (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._refilled_at = now
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _try_write(self, text: str) -> bool:
        line = text.encode(errors='replace')
        if len(line) > MAX_LINE_BYTES:
            line = b'%s\n' % line[: MAX_LINE_BYTES - 1]
        try:
            return os.write(self._descriptor, line) == len(line)
        except OSError:
            return False
