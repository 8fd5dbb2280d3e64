"""Asks other hosts for a later configuration before a new process serves.

A process starts with the configuration in the store. After a restore the
store has an older one until the operator's lost writes are repeated, while the
other hosts still go by the later one. Without the check, a withdrawn key would
work again on each host that starts in that time.
"""

import asyncio
import typing

import logbook

from egretstep import identifiers
from egretstep.settings import configuration_follower

ASKED_HOSTS = 3
# A host that lost power gives no answer, and callers wait meanwhile.
ANSWER_SECONDS = 0.3
_logger = logbook.Logger('configuration')

Ask = typing.Callable[
    [identifiers.HostName, identifiers.SettingsVersion],
    typing.Awaitable[bytes],
]


class StartupCheck:
    """Applies the latest configuration that the asked hosts know.

    `choose_hosts` returns hosts to ask, at most as many as it is called with.
    `ask` returns a host's configuration if it is later than a version, empty
    otherwise or without an answer. `is_done` is set once this process may
    serve callers.
    """

    def __init__(
        self,
        *,
        follower: configuration_follower.ConfigurationFollower,
        choose_hosts: typing.Callable[[int], list[identifiers.HostName]],
        ask: Ask,
        is_done: asyncio.Event,
    ) -> None:
        self._follower = follower
        self._choose_hosts = choose_hosts
        self._ask = ask
        self._is_done = is_done

    async def run(self) -> None:
        """Wait for the first configuration, then ask once."""
        await self._follower.is_known.wait()
        hosts = self._choose_hosts(ASKED_HOSTS)
        asking = [asyncio.ensure_future(self._ask_host(host)) for host in hosts]
        if asking:
            _, late = await asyncio.wait(asking, timeout=ANSWER_SECONDS)
            for call in late:
                call.cancel()
        self._is_done.set()
        _logger.info(
            'serving with configuration version {} from {}; asked: {}',
            self._follower.version,
            self._follower.source,
            hosts,
        )

    async def _ask_host(self, host: identifiers.HostName) -> None:
        content = await self._ask(host, self._follower.version)
        if content:
            self._follower.offer(content, source=host)
