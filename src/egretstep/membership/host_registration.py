"""Keeps this host registered in the store while its process runs.

After a restore the store may have lost the rows of hosts. Each host then
writes its own row again. The row of a host that does not answer, or that was
stopped, is written by the host that ranks first for it.
"""

import asyncio
import random

import logbook

from egretstep.membership import directory, host_rows

RETRY_SECONDS = 0.3
# All hosts of a fleet may find their rows lost at the same moment.
SPREAD_SECONDS_PER_HOST = 0.005
_logger = logbook.Logger('registration')


class HostRegistration:
    """Stores the row of this host, and rows that the store has lost."""

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
        self._is_row_lost = asyncio.Event()

    async def run(self) -> None:
        """Register this host, and keep the rows stored until cancelled."""
        while not self._hosts.is_registered:
            await self._register()
        while True:
            await self._is_row_lost.wait()
            self._is_row_lost.clear()
            await self._write_lost_rows()

    def check(self) -> None:
        """Check for lost rows, after a change of the hosts in the store."""
        if any(
            self._is_responsible(host)
            for host in self._hosts.missing_from_store
        ):
            self._is_row_lost.set()

    async def _register(self) -> None:
        try:
            own = await self._registration.register(self._pending)
        except host_rows.WRITE_FAILURES as error:
            _logger.warning(
                'host {} could not register and tries again: {}',
                self._pending.own.host,
                error,
            )
            await asyncio.sleep(RETRY_SECONDS)
            return
        self._hosts.mark_registered(own)
        _logger.info(
            'host {} is registered with boot number {}', own.host, own.boot
        )

    async def _write_lost_rows(self) -> None:
        spread = SPREAD_SECONDS_PER_HOST * len(self._hosts.hosts)
        await asyncio.sleep(random.uniform(0, spread))
        for host in self._hosts.missing_from_store:
            if self._is_responsible(host):
                await self._write_again(host)

    def _is_responsible(self, host: directory.Host) -> bool:
        own = self._hosts.own.host
        if host.host == own or self._hosts.is_usable(host.host):
            return host.host == own
        return self._hosts.best(host.host, host.zone).host == own

    async def _write_again(self, host: directory.Host) -> None:
        try:
            is_written = await self._registration.write_again(host)
        except host_rows.WRITE_FAILURES as error:
            _logger.warning(
                'the lost row of host {} could not be written and is tried '
                'again: {}',
                host.host,
                error,
            )
            self._is_row_lost.set()
            await asyncio.sleep(RETRY_SECONDS)
            return
        if is_written:
            _logger.info(
                'the row of host {} ({}, boot number {}) was lost and is '
                'written again',
                host.host,
                host.state.value,
                host.boot,
            )
