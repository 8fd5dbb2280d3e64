"""Keeps a host registered in the store while its process runs."""

import asyncio

import logbook

from egretstep.membership import directory, host_rows

REGISTRATION_RETRY_SECONDS = 0.3
_logger = logbook.Logger('registration')


class HostRegistration:
    """Stores the row of this host, beside serving callers."""

    def __init__(
        self,
        *,
        registration: host_rows.Registration,
        pending: host_rows.PendingRegistration,
        hosts: directory.Directory,
    ) -> None:
        self._registration = registration
        self._pending = pending
        self._hosts = hosts

    async def run(self) -> None:
        """Write this host's row, with retries, and return once it is stored."""
        while not self._hosts.is_registered:
            try:
                own = await self._registration.register(self._pending)
            except host_rows.WRITE_FAILURES as error:
                _logger.warning(
                    'host {} could not register and tries again: {}',
                    self._pending.own.host,
                    error,
                )
                await asyncio.sleep(REGISTRATION_RETRY_SECONDS)
            else:
                self._hosts.mark_registered(own)
                _logger.info(
                    'host {} is registered with boot number {}',
                    own.host,
                    own.boot,
                )
