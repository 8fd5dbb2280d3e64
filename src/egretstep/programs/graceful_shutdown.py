"""Graceful shutdown of a host, without interrupting running statements.

Tasks are handed over and idle sessions are closed. Callers still connect until
the load balancer learns that the host is stopping, so new sessions are accepted
until the tasks are handed over and the open sessions have ended. Statements
that run are waited for until shortly before the end of the grace period; then
those that are left are ended, and their callers told so.
"""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import clock
from egretstep.membership import directory, host_rows
from egretstep.supervision import stop_deadline

ANNOUNCE_TIMEOUT_SECONDS = 0.4
LEAVE_VOTERS_SECONDS = 2.0
# A hand-over needs some time, in which this host still serves.
HAND_OVER_MARGIN_SECONDS = 1.0
# Time for the last answers and for the end of the process.
ANSWER_MARGIN_SECONDS = 0.5
LAST_ANSWERS_SECONDS = 0.2
# Open transactions and statements of callers that can't know of the stop yet
# have this share of the grace period.
UNLIMITED_SHARE = 0.5
SESSION_POLL_INTERVAL_SECONDS = 0.05
LAST_ANSWER_POLL_INTERVAL_SECONDS = 0.01
# Statements that are already in transit to this host are still answered.
LINGER_SECONDS = 0.3
_ANNOUNCE_FAILURES = (TimeoutError, *host_rows.WRITE_FAILURES)
_logger = logbook.Logger('stopping')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """How this host leaves the fleet; both functions get a latest time.

    `hand_over` hands over all tasks to other hosts, and `leave_voters` waits
    until this host is no voter.
    """

    hand_over: typing.Callable[[float], typing.Awaitable[None]]
    leave_voters: typing.Callable[[float], typing.Awaitable[None]]


class Sessions(typing.Protocol):
    """The sessions of the callers of this host."""

    def close_idle(self) -> int:
        """Close the idle sessions; return how many have not ended."""

    def close_unanswered(self) -> int:
        """Close the sessions that wait for no answer.

        Returns how many have not ended.
        """

    def stop_accepting(self) -> None:
        """Refuse new sessions."""


class Statements(typing.Protocol):
    """The statements of callers and of other hosts that run on this host."""

    @property
    def count(self) -> int:
        """Return how many run or wait."""

    async def end(self) -> None:
        """End all of them, each with a true answer."""


class GracefulShutdown:
    """The steps of a planned stop.

    `sessions` are those of this host's callers, and `statements` the running
    statements. `stop` tells them what they still may take on. The process must
    have ended `grace` seconds after now. Times are monotonic, in seconds.
    """

    def __init__(
        self,
        *,
        registration: host_rows.Registration,
        own: directory.Host,
        departure: Departure,
        sessions: Sessions,
        statements: Statements,
        stop: stop_deadline.StopDeadline,
        grace: float,
        time_source: clock.Clock,
    ) -> None:
        self._registration = registration
        self._own = own
        self._departure = departure
        self._sessions = sessions
        self._statements = statements
        self._stop = stop
        self._clock = time_source
        now = time_source.now()
        self._hand_over_until = now + grace - HAND_OVER_MARGIN_SECONDS
        stop.begin(
            takes_all_until=now + grace * UNLIMITED_SHARE,
            answers_until=now + grace - ANSWER_MARGIN_SECONDS,
        )

    async def drain(self) -> None:
        """Hand over the tasks and wait until all sessions have ended.

        What is left `ANSWER_MARGIN_SECONDS` before the end of the grace period
        is ended.
        """
        await asyncio.gather(
            self._announce(directory.HostState.LEAVING, self._hand_over_until),
            self._departure.hand_over(self._hand_over_until),
            self._departure.leave_voters(
                self._clock.now() + LEAVE_VOTERS_SECONDS
            ),
            self._close_sessions(),
        )
        self._sessions.stop_accepting()
        await self._close_sessions()
        if self._stop.is_over:
            await self._end_rest()

    async def linger(self) -> None:
        """Announce that this host is gone, and wait for late requests.

        The connection accepted last may send its first request only now.
        """
        await asyncio.gather(
            asyncio.sleep(0 if self._stop.is_over else LINGER_SECONDS),
            self._announce(
                directory.HostState.GONE,
                self._clock.now() + ANNOUNCE_TIMEOUT_SECONDS,
            ),
        )
        await self._close_sessions()
        if self._stop.is_over:
            await self._end_rest()

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
        while not self._stop.is_over:
            is_busy = self._sessions.close_idle() or self._statements.count
            if not is_busy:
                return
            await asyncio.sleep(SESSION_POLL_INTERVAL_SECONDS)

    async def _end_rest(self) -> None:
        """End what still runs; wait until its callers have their answers."""
        ended_count = self._statements.count
        open_count = self._sessions.close_unanswered()
        _logger.warning(
            'the grace period is nearly over: {} statements on this host are '
            'ended, {} sessions are open',
            ended_count,
            open_count,
        )
        await self._statements.end()
        deadline = self._clock.now() + LAST_ANSWERS_SECONDS
        while (
            self._sessions.close_unanswered() and self._clock.now() < deadline
        ):
            await asyncio.sleep(LAST_ANSWER_POLL_INTERVAL_SECONDS)
