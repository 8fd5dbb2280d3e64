"""What was sent, answered and run, in the order of one steady clock."""

import pathlib
import time


class Record:
    """Collects events and writes them to a file, one line each."""

    def __init__(self, path: pathlib.Path) -> None:
        self._started = time.monotonic()
        self._file = path.open('w', encoding='utf-8')

    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._started

    def add(self, kind: str, **fields: object) -> float:
        """Write an event; return its time."""
        now = self.now()
        words = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{now:9.4f} {kind} {words}\n')
        return now

    def close(self) -> None:
        """Close the file."""
        self._file.close()
