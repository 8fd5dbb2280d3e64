"""Health checks of one database server.

Each heartbeat checks that the server answers, and reads its log positions
and the term that it has promised to an owner. While this host holds a term,
the heartbeat also renews that promise, and thereby the lease.
"""

import asyncio
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.storage import interfaces

HEARTBEAT_SECONDS = 0.1
DOWN_AFTER_SECONDS = 0.5
_logger = logbook.Logger('monitor')

OnStatus = typing.Callable[
    ['ServerMonitor', interfaces.ServerStatus, float],
    typing.Awaitable[None],
]


class ServerMonitor:
    """Requests the status of one server at a fixed interval.

    `on_status` is called with each status and the monotonic time before the
    request for it was sent.
    """

    def __init__(
        self,
        *,
        name: identifiers.ServerName,
        control: interfaces.DatabaseControl,
        owner: str,
        time_source: clock.Clock,
        on_status: OnStatus,
    ) -> None:
        self._name = name
        self._control = control
        self._owner = owner
        self._clock = time_source
        self._on_status = on_status
        self._term = identifiers.NO_TERM
        self._answered_at = time_source.now()
        self._status: interfaces.ServerStatus | None = None
        self._was_up = True

    @property
    def name(self) -> identifiers.ServerName:
        """Return the server's name."""
        return self._name

    @property
    def control(self) -> interfaces.DatabaseControl:
        """Return the connection that sends commands to the server."""
        return self._control

    @property
    def status(self) -> interfaces.ServerStatus | None:
        """Return the latest status, or None before the first one."""
        return self._status

    @property
    def applied(self) -> identifiers.LogPosition:
        """Return a position that every read of the server includes."""
        return self._status.applied if self._status else identifiers.LOG_START

    @property
    def is_up(self) -> bool:
        """Return whether the last answer is recent enough."""
        silent_seconds = self._clock.now() - self._answered_at
        return self._status is not None and silent_seconds < DOWN_AFTER_SECONDS

    @property
    def is_state_known(self) -> bool:
        """Return whether the server has answered or had time to answer."""
        silent_seconds = self._clock.now() - self._answered_at
        return self._status is not None or silent_seconds >= DOWN_AFTER_SECONDS

    def renew_term(self, term: identifiers.Term) -> None:
        """Fence the server at `term` again with each heartbeat from now on.

        The server thereby renews its promise to reject older terms. With
        `identifiers.NO_TERM`, heartbeats only read the server's status.
        """
        self._term = term

    async def run(self) -> None:
        """Send heartbeats until cancelled, then close the connection."""
        try:
            while True:
                await self._poll()
                await asyncio.sleep(HEARTBEAT_SECONDS)
        finally:
            await self._control.close()

    def record_status(self, status: interfaces.ServerStatus) -> None:
        """Record a status that the answer to another command contained."""
        self._status = status
        self._answered_at = self._clock.now()

    async def _poll(self) -> None:
        sent_at = self._clock.now()
        try:
            status = await self._request_status()
        except errors.DatabaseServerError as error:
            self._log_transition(str(error))
            return
        self.record_status(status)
        self._log_transition('')
        await self._on_status(self, status, sent_at)

    async def _request_status(self) -> interfaces.ServerStatus:
        if self._term:
            return await self._control.fence(
                term=self._term,
                owner=self._owner,
            )
        return await self._control.status()

    def _log_transition(self, reason: str) -> None:
        if self._was_up == self.is_up:
            return
        self._was_up = self.is_up
        state = 'up' if self.is_up else f'down: {reason}'
        _logger.warning('server {} is {}', self._name, state)
