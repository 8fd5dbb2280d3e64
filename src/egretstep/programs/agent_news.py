"""What an agent tells the programs of its host, and learns from them."""

import asyncio
import typing

from egretstep import clock
from egretstep.membership import gossip as gossip_module
from egretstep.membership import members, pool_watch
from egretstep.settings import freshness

WATCH_SECONDS = 0.5
NEWS_POLL_SECONDS = 0.03


class AgentNews:
    """The news of settings and hosts, and which programs follow them."""

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

    def forget_name(self, program: str) -> None:
        """Note that a program goes on under another name."""
        self.programs.discard(program)

    def note_program(self, program: str, *, up: bool) -> None:
        """Note that a program of this host has come or gone."""
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

    async def wait_news(
        self,
        version: int,
        revision: int,
        confirmed_at: float,
    ) -> None:
        """Wait until settings, hosts or the confirmation are news."""
        deadline = self._clock.now() + WATCH_SECONDS
        while self._clock.now() < deadline:
            changed = (
                self.keeper.version != version
                or self._table.revision != revision
                or self.keeper.confirmed_at - confirmed_at > WATCH_SECONDS
            )
            if changed:
                return
            await asyncio.sleep(NEWS_POLL_SECONDS)

    def fill_view(
        self,
        view: typing.Any,
        version: int,
        revision: int,
    ) -> None:
        """Write what changed since a known version and revision."""
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
