"""Decides whether a host follows the store directly or through a relay.

Hundreds of hosts follow the same tables, and each change costs the store one
call for each host that asks it directly. In a large availability zone one
host, the relay, asks the store and the others ask the relay. A relay that
can't confirm that its data are recent is avoided for a while, so that every
host can fall back to the store. A host that gets no answer from the store
reads the change feed of any other host.
"""

from egretstep import clock, identifiers
from egretstep.membership import directory, rendezvous

RELAYS_PER_ZONE = 2
MIN_RELAYED_ZONE_HOSTS = 8
# A relay stays avoided while polls to all relays fail one after another, and for
# one poll more, so that the host then asks the store.
AVOIDANCE_POLLS = RELAYS_PER_ZONE + 1
_HASH_KEY = 'relay'


class RelayChoice:
    """Chooses which host to ask for changes, or the store itself.

    `poll_timeout` is the longest time that a poll takes, in seconds.
    """

    def __init__(
        self,
        *,
        hosts: directory.Directory,
        poll_timeout: float,
        time_source: clock.Clock,
    ) -> None:
        self._hosts = hosts
        self._avoidance_seconds = AVOIDANCE_POLLS * poll_timeout
        self._clock = time_source
        self._failed_at: dict[identifiers.HostName, float] = {}
        self._relays: tuple[identifiers.HostName, ...] = ()
        self._relays_revision = -1

    def relay(self) -> identifiers.HostName | None:
        """Return the relay to ask for changes, None to ask the store."""
        own = self._hosts.own.host
        for name in self._current_relays():
            if name == own:
                return None
            if self._is_allowed(name):
                return name
        return None

    def any_host(self) -> identifiers.HostName | None:
        """Return a random host to ask while the store does not answer.

        Hosts that have failed come last, the latest failure at the end.
        """
        names = self._hosts.choose_others(len(self._hosts.hosts))
        return min(names, key=self._last_failure, default=None)

    def avoid(self, host: identifiers.HostName) -> None:
        """Avoid a host for a while, because its data were not recent."""
        self._failed_at[host] = self._clock.now()

    def _last_failure(self, host: identifiers.HostName) -> float:
        return self._failed_at.get(host, float('-inf'))

    def _is_allowed(self, host: identifiers.HostName) -> bool:
        since = self._clock.now() - self._last_failure(host)
        return since >= self._avoidance_seconds

    def _current_relays(self) -> tuple[identifiers.HostName, ...]:
        """Return the relays of this host's zone, the preferred one first."""
        revision = self._hosts.revision
        if self._relays_revision != revision:
            self._relays_revision = revision
            self._relays = self._choose_relays()
        return self._relays

    def _choose_relays(self) -> tuple[identifiers.HostName, ...]:
        zone_hosts = [
            host
            for host in self._hosts.usable()
            if host.zone == self._hosts.own.zone
        ]
        if len(zone_hosts) < MIN_RELAYED_ZONE_HOSTS:
            return ()
        zone_hosts.sort(
            key=lambda host: (
                -host.processor,
                -rendezvous.score(key=_HASH_KEY, host=host.host),
            ),
        )
        return tuple(host.host for host in zone_hosts[:RELAYS_PER_ZONE])
