"""Watches the voters that follow this one in the order of names."""

from egretstep import clock, identifiers
from egretstep.membership import fleet_links, quorum_calls, voters

# Longer than most restarts take, since a change costs more than one silence.
SILENT_SECONDS = 3.0
MAX_WATCHED_HOSTS = 4


class VoterWatch:
    """Tells which voters have been silent for `SILENT_SECONDS`.

    Each voter calls the next ones, up to the first one that answers, so that
    every voter is watched and each call costs little. `own` is this host.
    """

    def __init__(
        self,
        *,
        own: identifiers.HostName,
        known_voters: voters.KnownVoters,
        calls: quorum_calls.QuorumCalls,
        links: fleet_links.FleetLinks,
        time_source: clock.Clock,
    ) -> None:
        self._own = own
        self._voters = known_voters
        self._calls = calls
        self._links = links
        self._clock = time_source
        self._silent_since: dict[identifiers.HostName, float] = {}

    @property
    def silent(self) -> voters.HostNames:
        """Return the watched voters that have been silent for long."""
        limit = self._clock.now() - SILENT_SECONDS
        return frozenset(
            host for host, since in self._silent_since.items() if since <= limit
        )

    async def check(self) -> None:
        """Call the voters that follow this one."""
        silent = {}
        for host in self._following():
            if await self._links.is_alive(host):
                break
            silent[host] = self._silent_since.get(host, self._clock.now())
        self._silent_since = silent

    async def find_lost(self) -> voters.HostNames:
        """Return the silent voters that no other voter reaches either."""
        lost = set()
        for host in self.silent:
            if not await self._calls.is_reached_by_any(host):
                lost.add(host)
        return frozenset(lost)

    def _following(self) -> tuple[identifiers.HostName, ...]:
        current = self._voters.current
        if current is None or self._own not in current.all_hosts:
            return ()
        ordered = sorted(current.all_hosts)
        place = ordered.index(self._own)
        following = (*ordered[place + 1 :], *ordered[:place])
        return following[:MAX_WATCHED_HOSTS]
