"""Watches one database server: is it up, how far is it, whom does it obey.

While the owner holds a term, each question renews the server's promise of
that term, and so the lease.
"""

import asyncio
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.storage import interfaces

HEARTBEAT_SECONDS = 0.1
DOWN_SECONDS = 0.5
_logger = logbook.Logger('monitor')

OnStatus = typing.Callable[
    ['ServerMonitor', interfaces.ServerStatus, float],
    typing.Awaitable[None],
]


class ServerMonitor:
    """Asks one server for its status again and again."""

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
        """Return the control of the server."""
        return self._control

    @property
    def status(self) -> interfaces.ServerStatus | None:
        """Return the latest status, or none before the first one."""
        return self._status

    @property
    def applied(self) -> identifiers.LogPosition:
        """Return the position that the server's reads could see at least."""
        return self._status.applied if self._status else identifiers.LOG_START

    @property
    def is_up(self) -> bool:
        """Tell whether the server has answered lately."""
        silent = self._clock.now() - self._answered_at
        return self._status is not None and silent < DOWN_SECONDS

    @property
    def was_ever_asked(self) -> bool:
        """Tell whether there was time for a first answer."""
        silent = self._clock.now() - self._answered_at
        return self._status is not None or silent >= DOWN_SECONDS

    def renew(self, term: identifiers.Term) -> None:
        """Renew the promise of a term from now on; zero only asks."""
        self._term = term

    async def run(self) -> None:
        """Ask until cancelled."""
        try:
            while True:
                await self._ask()
                await asyncio.sleep(HEARTBEAT_SECONDS)
        finally:
            await self._control.close()

    def note(self, status: interfaces.ServerStatus) -> None:
        """Take in a status that another question brought."""
        self._status = status
        self._answered_at = self._clock.now()

    async def _ask(self) -> None:
        asked_at = self._clock.now()
        try:
            status = await self._question()
        except errors.DatabaseServerError as error:
            self._log_change(str(error))
            return
        self.note(status)
        self._log_change('')
        await self._on_status(self, status, asked_at)

    async def _question(self) -> interfaces.ServerStatus:
        if self._term:
            return await self._control.fence(
                term=self._term,
                owner=self._owner,
            )
        return await self._control.status()

    def _log_change(self, reason: str) -> None:
        if self._was_up == self.is_up:
            return
        self._was_up = self.is_up
        state = 'up' if self.is_up else f'down: {reason}'
        _logger.warning('server {} is {}', self._name, state)
