"""A log stream that never blocks the process and bounds its volume."""

import os
import typing

from egretstep import clock

LINES_PER_SECOND = 200
BURST_LINES = 400
LONGEST_LINE_BYTES = 4000


class BoundedStream:
    """Writes whole lines to a file descriptor, or drops and counts them.

    Lines above the rate are dropped, and so are those that a full pipe
    would make the process wait for. The next line that passes is preceded
    by the number of those that did not.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        time_source: clock.Clock,
        note_dropped: typing.Callable[[int], str],
    ) -> None:
        self._descriptor = descriptor
        self._clock = time_source
        self._note_dropped = note_dropped
        self._allowance = float(BURST_LINES)
        self._refilled_at = time_source.now()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped since the last that passed."""
        return self._dropped

    def write(self, text: str) -> None:
        """Write one line, or count it as dropped."""
        if not self._is_allowed():
            self._dropped += 1
            return
        if self._dropped and self._put(
            f'{self._note_dropped(self._dropped)}\n'
        ):
            self._dropped = 0
        if not self._put(text):
            self._dropped += 1

    def flush(self) -> None:
        """Do nothing, since nothing is held back."""

    def _is_allowed(self) -> bool:
        now = self._clock.now()
        earned = (now - self._refilled_at) * LINES_PER_SECOND
        self._refilled_at = now
        self._allowance = min(BURST_LINES, self._allowance + earned)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _put(self, text: str) -> bool:
        line = text.encode(errors='replace')
        if len(line) > LONGEST_LINE_BYTES:
            line = b'%s\n' % line[: LONGEST_LINE_BYTES - 1]
        try:
            return os.write(self._descriptor, line) == len(line)
        except OSError:
            return False
