"""Decides from whom a host hears what changes in the store.

Load pattern: hundreds of hosts follow the same tables, and each change costs
a call for each host that asks the store itself. In a large zone one host
asks and the others hear of it from there. One that can't vouch for its news
is passed over, so that every host has a way back to the store; a host whom
the store does not answer asks any other one.
"""

import random

from egretstep import clock, identifiers
from egretstep.membership import directory, rendezvous

RELAYS = 2
SMALLEST_RELAYED_ZONE = 8
PASSED_OVER_SECONDS = 2.0
_KEY = 'relay'


class RelayChoice:
    """Chooses the host to ask for news, or the store itself."""

    def __init__(
        self,
        *,
        hosts: directory.Directory,
        time_source: clock.Clock,
    ) -> None:
        self._hosts = hosts
        self._clock = time_source
        self._passed_over: dict[identifiers.HostName, float] = {}
        self._relays: tuple[identifiers.HostName, ...] = ()
        self._relays_from = -1

    def relay(self) -> identifiers.HostName | None:
        """Return the host whose news replace this host's own questions."""
        own = self._hosts.own.host
        for name in self._ranked():
            if name == own:
                return None
            if self._is_open(name):
                return name
        return None

    def any_host(self) -> identifiers.HostName | None:
        """Return some host to ask while the store does not answer."""
        own = self._hosts.own.host
        names = [
            host.host
            for host in self._hosts.usable()
            if host.host != own and self._is_open(host.host)
        ]
        return random.choice(names) if names else None

    def avoid(self, host: identifiers.HostName) -> None:
        """Ask others for a while, since a host could not vouch for its news."""
        until = self._clock.now() + PASSED_OVER_SECONDS
        self._passed_over[host] = until

    def _is_open(self, host: identifiers.HostName) -> bool:
        return self._passed_over.get(host, 0) <= self._clock.now()

    def _ranked(self) -> tuple[identifiers.HostName, ...]:
        """Return the relays of this host's zone, the first one first."""
        revision = self._hosts.revision
        if self._relays_from != revision:
            self._relays_from = revision
            self._relays = self._rank()
        return self._relays

    def _rank(self) -> tuple[identifiers.HostName, ...]:
        near = [
            host
            for host in self._hosts.usable()
            if host.zone == self._hosts.own.zone
        ]
        if len(near) < SMALLEST_RELAYED_ZONE:
            return ()
        near.sort(
            key=lambda host: (
                -host.processor,
                -rendezvous.score(key=_KEY, host=host.host),
            ),
        )
        return tuple(host.host for host in near[:RELAYS])
