"""What the statements of this host tell of a server: is it answering?"""

import contextlib
import typing

from egretstep import clock


class ServerActivity:
    """When a server answered last, and what it has not answered since.

    `failures` counts the errors since its latest sign of life.
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._running_since: dict[int, float] = {}
        self._latest_run_id = 0
        self._alive_at = time_source.now()
        self.failures = 0

    @property
    def is_running(self) -> bool:
        """Return whether a statement runs."""
        return bool(self._running_since)

    @property
    def alive_at(self) -> float:
        """Return the monotonic time of the latest sign of life, in seconds."""
        return self._alive_at

    @property
    def silent_seconds(self) -> float:
        """Return the seconds without an answer; 0 if no statement runs."""
        if not self._running_since:
            return 0
        oldest = min(self._running_since.values())
        return self._clock.now() - max(oldest, self._alive_at)

    def record_alive(self) -> None:
        """Record that the server answered, if only by a refusal."""
        self._alive_at = self._clock.now()
        self.failures = 0

    def record_refusal(self) -> None:
        """Record that the server refused a connection.

        It is alive, but errors before are not made good by that.
        """
        self._alive_at = self._clock.now()

    def record_failure(self) -> None:
        """Record that the server gave no answer, or a broken one."""
        self.failures += 1

    @contextlib.contextmanager
    def running(self) -> typing.Generator[None, None, None]:
        """Count the block as a running statement."""
        self._latest_run_id += 1
        run_id = self._latest_run_id
        self._running_since[run_id] = self._clock.now()
        try:
            yield
        finally:
            del self._running_since[run_id]
