"""Graceful shutdown of a host, without interrupting running statements.

Tasks are handed over and idle sessions are closed. Callers still connect until
the load balancer learns that the host is stopping, so new sessions are accepted
until the tasks are handed over and the open sessions have ended.
"""

import asyncio
import typing

import logbook

from egretstep import clock
from egretstep.membership import directory, host_rows

ANNOUNCE_TIMEOUT_SECONDS = 0.4
LEAVE_VOTERS_SECONDS = 2.0
GRACE_MARGIN_SECONDS = 1.0
SESSION_POLL_INTERVAL_SECONDS = 0.05
# Statements that are already in transit to this host are still answered.
LINGER_SECONDS = 0.3
_ANNOUNCE_FAILURES = (TimeoutError, *host_rows.WRITE_FAILURES)
_logger = logbook.Logger('stopping')


class GracefulShutdown:
    """The steps of a planned stop.

    `hand_over` hands over all tasks to other hosts by a given time, and
    `leave_voters` waits up to a given time until this host is no voter.
    `close_idle` closes the idle sessions and returns how many sessions have
    not ended; `stop_accepting` refuses new ones. `grace_ends_at` is the time
    at which the process must have ended. Times are monotonic, in seconds.
    """

    def __init__(
        self,
        *,
        registration: host_rows.Registration,
        own: directory.Host,
        hand_over: typing.Callable[[float], typing.Awaitable[None]],
        leave_voters: typing.Callable[[float], typing.Awaitable[None]],
        close_idle: typing.Callable[[], int],
        stop_accepting: typing.Callable[[], None],
        grace_ends_at: float,
        time_source: clock.Clock,
    ) -> None:
        self._registration = registration
        self._own = own
        self._hand_over = hand_over
        self._leave_voters = leave_voters
        self._close_idle = close_idle
        self._stop_accepting = stop_accepting
        self._deadline = grace_ends_at - GRACE_MARGIN_SECONDS
        self._clock = time_source

    async def drain(self) -> None:
        """Hand over the tasks and wait until all sessions have ended.

        Sessions that are still open `GRACE_MARGIN_SECONDS` before the end of
        the grace period are not waited for.
        """
        await asyncio.gather(
            self._announce(directory.HostState.LEAVING, self._deadline),
            self._hand_over(self._deadline),
            self._leave_voters(self._clock.now() + LEAVE_VOTERS_SECONDS),
            self._close_sessions(),
        )
        self._stop_accepting()
        await self._close_sessions()

    async def linger(self) -> None:
        """Announce that this host is gone, and wait for late requests.

        The connection accepted last may send its first request only now.
        """
        await asyncio.gather(
            asyncio.sleep(LINGER_SECONDS),
            self._announce(
                directory.HostState.GONE,
                self._clock.now() + ANNOUNCE_TIMEOUT_SECONDS,
            ),
        )
        await self._close_sessions()

    async def _announce(
        self,
        state: directory.HostState,
        deadline: float,
    ) -> None:
        try:
            async with asyncio.timeout(deadline - self._clock.now()):
                await self._registration.change(self._own, state)
        except _ANNOUNCE_FAILURES as error:
            _logger.warning(
                'the state {} of host {} could not be announced: {!r}',
                state.value,
                self._own.host,
                error,
            )

    async def _close_sessions(self) -> None:
        while self._close_idle() and self._clock.now() < self._deadline:
            await asyncio.sleep(SESSION_POLL_INTERVAL_SECONDS)
