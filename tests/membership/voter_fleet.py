"""Hosts that share a store and change the voters, for tests on virtual time."""

import asyncio
import typing

from egretstep import identifiers
from egretstep.membership import directory, voter_changes, voters
from tests import platform_fakes, virtual_time

ADOPTS_AFTER_SECONDS = 0.3


class VoterHost:
    """A host in a fleet in one process; a lost one answers nothing."""

    def __init__(self, fleet: 'VoterFleet', name: str) -> None:
        self._fleet = fleet
        self.name = identifiers.HostName(name)
        self.is_up = True
        self.heard_at = 0.0
        self.hosts = directory.Directory(
            own=platform_fakes.host(name), time_source=fleet.clock
        )
        self.known_voters = voters.KnownVoters(
            store_silence=lambda: fleet.clock.now() - self.heard_at,
            time_source=fleet.clock,
        )
        self.changes = voter_changes.VoterChanges(
            hosts=self.hosts,
            known_voters=self.known_voters,
            calls=self,  # type: ignore[arg-type]
            links=self,  # type: ignore[arg-type]
            store=fleet.store,
            time_source=fleet.clock,
        )

    async def run(self) -> None:
        """Follow the store and check the voters until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow())
            tasks.create_task(self.changes.run())

    async def _follow(self) -> None:
        while True:
            if not self._fleet.store.is_down:
                snapshot = await self._fleet.store.read(directory.TABLE)
                rows = {row.key: row for row in snapshot.rows}
                self.hosts.update(rows)
                self.known_voters.update(rows)
                self.heard_at = self._fleet.clock.now()
            await asyncio.sleep(ADOPTS_AFTER_SECONDS)

    async def is_alive(self, host: identifiers.HostName) -> bool:
        """Return whether a host answers this one."""
        return self._fleet.answers(self.name, host)

    async def is_reached_by_any(self, host: identifiers.HostName) -> bool:
        """Return whether any other host that answers reaches a host."""
        return any(
            self._fleet.answers(self.name, other)
            and self._fleet.answers(other, host)
            for other in self.hosts.hosts
            if other not in {self.name, host}
        )

    async def voter_epochs(
        self, queried: typing.Iterable[identifiers.HostName]
    ) -> dict[identifiers.HostName, int]:
        """Return the epochs that the answering hosts know."""
        return {
            host: self._fleet.hosts[host].known_voters.epoch
            for host in queried
            if self._fleet.answers(self.name, host)
        }


class VoterFleet:
    """Hosts that share a store; `cut` are the hosts that only see each other."""

    def __init__(self) -> None:
        self.clock = virtual_time.LoopClock()
        self.store = platform_fakes.FakeTables()
        self.hosts: dict[identifiers.HostName, VoterHost] = {}
        self.cut: set[str] = set()
        self._tasks: dict[identifiers.HostName, asyncio.Task[None]] = {}

    def answers(
        self, caller: identifiers.HostName, host: identifiers.HostName
    ) -> bool:
        """Return whether a host answers another one."""
        if host not in self.hosts or not self.hosts[host].is_up:
            return False
        return (caller in self.cut) == (host in self.cut)

    async def add(self, name: str) -> None:
        """Register a host and start it."""
        host = VoterHost(self, name)
        await self.write_row(platform_fakes.host(name))
        self.hosts[host.name] = host
        self._tasks[host.name] = asyncio.ensure_future(host.run())

    async def write_row(self, host: directory.Host) -> None:
        """Write the row of a host over whatever is stored."""
        key = directory.PREFIX + host.host
        stored = await self.store.read_row(directory.TABLE, key)
        await self.store.compare_and_swap(
            directory.TABLE,
            key,
            expected=stored.version,
            content=directory.encode(host),
        )

    def lose(self, name: str) -> None:
        """End a host; its row stays."""
        host = self.hosts[identifiers.HostName(name)]
        host.is_up = False
        self._tasks[host.name].cancel()

    async def stored(self) -> voters.VoterSet | None:
        """Return the voters in the store."""
        row = await self.store.read_row(directory.TABLE, voters.KEY)
        return voters.decode_row(row)

    async def stop(self) -> None:
        """End all hosts."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
