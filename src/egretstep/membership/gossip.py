"""Failure detection and news between agents.

Each agent probes a few others in turn. Probe and answer carry the newest
reports about hosts, and the answer carries a vouch for the settings. A host
that fails a probe and two probes by others is suspected, and is dead unless
it refutes that in time.
"""

import asyncio
import collections
import dataclasses
import math
import random
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.membership import members, ranking
from egretstep.peers import links, schema
from egretstep.settings import freshness

PROBE_INTERVAL_SECONDS = 0.2
PROBE_JITTER = (0.8, 1.2)
PROBE_TIMEOUT_SECONDS = 0.3
INDIRECT_PROBES = 2
SUSPICION_SECONDS_PER_DOUBLING = 0.15
UPDATES_PER_PROBE = 8
TRANSMISSIONS_PER_DOUBLING = 3
_logger = logbook.Logger('membership')

OnVouch = typing.Callable[
    [members.Member, freshness.Vouch, float],
    typing.Awaitable[None],
]


@dataclasses.dataclass(slots=True, kw_only=True)
class _News:
    """A report and how often it is still to be sent."""

    report: members.Member
    transmissions_left: int


class Seed(typing.NamedTuple):
    """Address of an agent to ask when no other host is known."""

    address: str
    port: int


class Gossip:
    """Keeps a member table up to date with a bounded cost for each host."""

    def __init__(
        self,
        *,
        table: members.MemberTable,
        keeper: freshness.SettingsKeeper,
        time_source: clock.Clock,
        on_vouch: OnVouch,
        seeds: typing.Sequence[Seed] = (),
        random_seed: int | None = None,
    ) -> None:
        self._table = table
        self._keeper = keeper
        self._clock = time_source
        self._on_vouch = on_vouch
        self._random = random.Random(random_seed)
        self._seeds = tuple(seeds)
        self._links = links.LinkTable(
            interface=schema.Agent,
            time_source=time_source,
        )
        self._news: collections.OrderedDict[identifiers.HostName, _News] = (
            collections.OrderedDict()
        )
        self._suspected_at: dict[identifiers.HostName, float] = {}
        self._queue: list[members.Member] = []

    async def run(self) -> None:
        """Probe other hosts until cancelled."""
        while True:
            pause = PROBE_INTERVAL_SECONDS * self._random.uniform(*PROBE_JITTER)
            await asyncio.sleep(pause)
            self._bury_suspects()
            target = self._next_target()
            if target:
                await self._probe(target)
            elif self._seeds:
                await self._probe_seed(self._random.choice(self._seeds))

    def announce(self, report: members.Member) -> None:
        """Merge a report and pass it on when it was new."""
        if self._table.merge(report):
            self._spread(report)

    def announce_own(
        self,
        *,
        state: members.MemberState | None = None,
        pool: members.PoolState | None = None,
    ) -> None:
        """Change this host's own report and pass it on."""
        self._spread(self._table.update_own(state=state, pool=pool))

    def introduce(self, member: members.Member) -> None:
        """Add a host of the platform's list when it is unknown."""
        self._table.introduce(member)

    def answer(self, message: typing.Any) -> dict[str, typing.Any]:
        """Take in another agent's probe and return what answers it."""
        self._take_in(message)
        return self._compose()

    async def probe_for_other(self, host: identifiers.HostName) -> bool:
        """Probe a host because another one could not reach it."""
        target = self._table.get(host)
        if target is None:
            return False
        return await self._exchange(target)

    def link_to(self, member: members.Member) -> links.Link:
        """Return the link to another agent."""
        return self._links.get(member.address, member.agent_port)

    def _next_target(self) -> members.Member | None:
        if not self._queue:
            self._table.forget_dead()
            reachable = [*self._table.others(), self._table.own]
            targets = ranking.probe_targets(
                own=self._table.own.host,
                hosts=reachable,
            )
            targets.extend(self._choose_dead())
            self._random.shuffle(targets)
            self._queue = targets
        return self._queue.pop() if self._queue else None

    def _choose_dead(self) -> list[members.Member]:
        """Return one dead host at most, so that cut-off parts rejoin."""
        dead = [each for each in self._table.all() if not each.is_reachable]
        return [self._random.choice(dead)] if dead else []

    async def _probe_seed(self, seed: Seed) -> None:
        """Ask an address from the host's own settings who is there."""
        link = links.Link(
            address=seed.address,
            port=seed.port,
            interface=schema.Agent,
        )
        try:
            answer = await link.call(
                lambda agent: agent.probe(gossip=self._compose()),
                timeout=PROBE_TIMEOUT_SECONDS,
            )
        except (errors.LinkError, errors.LinkLostError):
            return
        finally:
            link.close()
        self._take_in(answer.gossip)

    async def _probe(self, target: members.Member) -> None:
        if await self._exchange(target):
            return
        if await self._probe_indirectly(target):
            return
        current = self._table.get(target.host)
        if current is None or current.state is members.MemberState.DEAD:
            return
        if target.host not in self._suspected_at:
            self._suspect(current)

    async def _exchange(self, target: members.Member) -> bool:
        link = self.link_to(target)
        message = self._compose()
        asked_at = self._clock.now()
        try:
            answer = await link.call(
                lambda agent: agent.probe(gossip=message),
                timeout=PROBE_TIMEOUT_SECONDS,
            )
        except (errors.LinkError, errors.LinkLostError):
            link.close()
            return False
        self._suspected_at.pop(target.host, None)
        sender = self._take_in(answer.gossip)
        vouch = freshness.Vouch(
            version=answer.gossip.vouch.version,
            age=clock.to_seconds(answer.gossip.vouch.ageMs),
        )
        await self._on_vouch(sender, vouch, asked_at)
        return True

    async def _probe_indirectly(self, target: members.Member) -> bool:
        helpers = [
            member
            for member in self._table.others()
            if member.host != target.host
        ]
        self._random.shuffle(helpers)
        reached = await asyncio.gather(
            *(
                self._ask_helper(helper, target)
                for helper in helpers[:INDIRECT_PROBES]
            ),
        )
        return any(reached)

    async def _ask_helper(
        self,
        helper: members.Member,
        target: members.Member,
    ) -> bool:
        try:
            answer = await self.link_to(helper).call(
                lambda agent: agent.probeFor(host=target.host),
                timeout=PROBE_TIMEOUT_SECONDS * 2,
            )
        except (errors.LinkError, errors.LinkLostError):
            return False
        return answer.reached

    def _suspect(self, member: members.Member) -> None:
        self._suspected_at[member.host] = self._clock.now()
        if member.state is members.MemberState.ALIVE:
            self.announce(
                dataclasses.replace(member, state=members.MemberState.SUSPECT),
            )

    def _bury_suspects(self) -> None:
        limit = self._clock.now() - self._suspicion_seconds()
        overdue = [
            host for host, since in self._suspected_at.items() if since < limit
        ]
        for host in overdue:
            self._suspected_at.pop(host)
            member = self._table.get(host)
            if member and member.is_reachable:
                _logger.warning('host {} is dead', host)
                self.announce(
                    dataclasses.replace(
                        member,
                        state=members.MemberState.DEAD,
                    ),
                )

    def _suspicion_seconds(self) -> float:
        return SUSPICION_SECONDS_PER_DOUBLING * self._doublings()

    def _doublings(self) -> int:
        return math.ceil(math.log2(len(self._table.all()) + 1))

    def _take_in(self, message: typing.Any) -> members.Member:
        sender = members.from_message(message.sender)
        self.announce(sender)
        for update in message.updates:
            self.announce(members.from_message(update))
        return sender

    def _compose(self) -> dict[str, typing.Any]:
        vouch = self._keeper.vouch()
        never = vouch.age == math.inf
        return {
            'sender': members.to_message(self._table.own),
            'updates': [members.to_message(news) for news in self._due_news()],
            'vouch': {
                'version': identifiers.NO_VERSION if never else vouch.version,
                'ageMs': 0 if never else clock.to_milliseconds(vouch.age) + 1,
            },
        }

    def _due_news(self) -> list[members.Member]:
        due = []
        for host in list(self._news)[:UPDATES_PER_PROBE]:
            news = self._news[host]
            due.append(news.report)
            news.transmissions_left -= 1
            if news.transmissions_left <= 0:
                self._news.pop(host)
            else:
                self._news.move_to_end(host)
        return due

    def _spread(self, report: members.Member) -> None:
        transmissions = TRANSMISSIONS_PER_DOUBLING * self._doublings()
        self._news[report.host] = _News(
            report=report,
            transmissions_left=transmissions,
        )
        self._news.move_to_end(report.host, last=False)
