"""The view of the fleet that an agent serves to the programs of its host."""

import asyncio
import typing

from egretstep import clock
from egretstep.membership import gossip as gossip_module
from egretstep.membership import members, pool_watch
from egretstep.settings import freshness

WATCH_TIMEOUT_SECONDS = 0.5
CHANGE_POLL_INTERVAL_SECONDS = 0.03


class HostViewSource:
    """Settings and members for the programs that watch them.

    `programs` are the names of the programs that watch for changes.
    `pool_watch` detects a pool that has stopped sending requests.
    """

    def __init__(
        self,
        *,
        keeper: freshness.SettingsKeeper,
        table: members.MemberTable,
        gossip: gossip_module.Gossip,
        time_source: clock.Clock,
    ) -> None:
        self._table = table
        self._clock = time_source
        self.keeper = keeper
        self.gossip = gossip
        self.programs: set[str] = set()
        self.pool_watch = pool_watch.PoolWatch(time_source=time_source)

    def remove_program(self, program: str) -> None:
        """Remove the former name of a program that has changed its name."""
        self.programs.discard(program)

    def record_program(self, program: str, *, up: bool) -> None:
        """Record whether a program of this host is running.

        If it is the pool, its new state is announced to the fleet.
        """
        if up:
            self.programs.add(program)
        else:
            self.programs.discard(program)
        state = pool_watch.POOL_STATES.get(program)
        if state is None:
            return
        if not up:
            state = members.PoolState.DOWN
        if state is not self._table.own.pool:
            self.gossip.announce_own(pool=state)

    async def wait_for_change(
        self,
        version: int,
        revision: int,
        confirmed_at: float,
    ) -> None:
        """Wait until the view has changed, or for the watch timeout.

        The arguments describe the view that the program has. The view has
        changed if its settings version or member revision differs, or if the
        settings were last confirmed more than `WATCH_TIMEOUT_SECONDS` after
        `confirmed_at`.
        """
        deadline = self._clock.now() + WATCH_TIMEOUT_SECONDS
        while self._clock.now() < deadline:
            changed = (
                self.keeper.version != version
                or self._table.revision != revision
                or self.keeper.confirmed_at - confirmed_at
                > WATCH_TIMEOUT_SECONDS
            )
            if changed:
                return
            await asyncio.sleep(CHANGE_POLL_INTERVAL_SECONDS)

    def write_changes(
        self,
        view: typing.Any,
        version: int,
        revision: int,
    ) -> None:
        """Write to `view` what differs from a known version and revision."""
        view.settingsVersion = self.keeper.version
        if self.keeper.version != version:
            view.record = self.keeper.encoded
        confirmed = max(self.keeper.confirmed_at, 0)
        view.confirmedAtMs = clock.to_milliseconds(confirmed)
        view.membersRevision = self._table.revision
        if self._table.revision != revision:
            view.members = [
                members.to_message(member) for member in self._table.all()
            ]
