"""Gossip between agents: failure detection and dissemination of reports.

Each agent probes a few other hosts in turn. Probes and their answers carry
the latest reports about hosts, and the sender's settings version with the
age of its confirmation. A host that answers neither a probe nor the indirect
probes of two other hosts is suspected, and is declared dead unless it answers
a later probe in time.
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
from egretstep.peers import link_table, links, schema
from egretstep.settings import freshness

PROBE_INTERVAL_SECONDS = 0.2
PROBE_JITTER = (0.8, 1.2)
PROBE_TIMEOUT_SECONDS = 0.3
INDIRECT_PROBE_HELPERS = 2
SUSPICION_SECONDS_PER_DOUBLING = 0.15
MAX_UPDATES_PER_MESSAGE = 8
TRANSMISSIONS_PER_DOUBLING = 3
_logger = logbook.Logger('membership')

OnVouch = typing.Callable[
    [members.Member, freshness.Vouch, float],
    typing.Awaitable[None],
]


@dataclasses.dataclass(slots=True, kw_only=True)
class _PendingReport:
    """A report, and how many more times it is to be sent."""

    report: members.Member
    transmissions_left: int


class Seed(typing.NamedTuple):
    """Address of an agent to contact while no other host is known."""

    address: str
    port: int


class Gossip:
    """Keeps the member table up to date by probing other agents.

    Each host sends a bounded number of probes per second, whatever the size
    of the fleet. `on_vouch` is called with the sender of each answer, its
    settings version with the age of the version's confirmation, and the
    monotonic time at which the probe was sent, in seconds.
    """

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
        self._links = link_table.LinkTable(
            interface=schema.Agent,
            time_source=time_source,
        )
        self._pending_reports: collections.OrderedDict[
            identifiers.HostName, _PendingReport
        ] = collections.OrderedDict()
        self._suspected_at: dict[identifiers.HostName, float] = {}
        self._probe_queue: list[members.Member] = []

    async def run(self) -> None:
        """Probe other hosts until cancelled."""
        while True:
            pause = PROBE_INTERVAL_SECONDS * self._random.uniform(*PROBE_JITTER)
            await asyncio.sleep(pause)
            self._mark_overdue_suspects_dead()
            target = self._next_target()
            if target:
                await self._probe(target)
            elif self._seeds:
                await self._probe_seed(self._random.choice(self._seeds))

    def announce(self, report: members.Member) -> None:
        """Merge a report, and pass it on if it changed the table."""
        if self._table.merge(report):
            self._enqueue(report)

    def announce_own(
        self,
        *,
        state: members.MemberState | None = None,
        pool: members.PoolState | None = None,
    ) -> None:
        """Change this host's own report, and pass it on."""
        self._enqueue(self._table.update_own(state=state, pool=pool))

    def add_listed_host(self, member: members.Member) -> None:
        """Add a host of the platform's list if it is not known yet."""
        self._table.add_listed_host(member)

    def answer(self, message: typing.Any) -> dict[str, typing.Any]:
        """Merge the message of another agent's probe and return the answer."""
        self._merge_message(message)
        return self._make_message()

    async def probe_for_other(self, host: identifiers.HostName) -> bool:
        """Probe a host on behalf of another agent that could not reach it."""
        target = self._table.get(host)
        if target is None:
            return False
        return await self._probe_directly(target)

    def link_to(self, member: members.Member) -> links.Link:
        """Return the link to another agent."""
        return self._links.get(member.address, member.agent_port)

    def _next_target(self) -> members.Member | None:
        if not self._probe_queue:
            self._table.forget_dead()
            reachable = [*self._table.others(), self._table.own]
            targets = ranking.probe_targets(
                own=self._table.own.host,
                hosts=reachable,
            )
            targets.extend(self._pick_dead_host())
            self._random.shuffle(targets)
            self._probe_queue = targets
        return self._probe_queue.pop() if self._probe_queue else None

    def _pick_dead_host(self) -> list[members.Member]:
        """Return one dead host, if any, to notice healed partitions."""
        dead = [each for each in self._table.all() if not each.is_reachable]
        return [self._random.choice(dead)] if dead else []

    async def _probe_seed(self, seed: Seed) -> None:
        """Probe an agent whose address comes from the host's settings."""
        link = links.Link(
            address=seed.address,
            port=seed.port,
            interface=schema.Agent,
        )
        try:
            answer = await link.call(
                lambda agent: agent.probe(gossip=self._make_message()),
                timeout=PROBE_TIMEOUT_SECONDS,
            )
        except (errors.LinkError, errors.LinkLostError):
            return
        finally:
            link.close()
        self._merge_message(answer.gossip)

    async def _probe(self, target: members.Member) -> None:
        if await self._probe_directly(target):
            return
        if await self._probe_indirectly(target):
            return
        current = self._table.get(target.host)
        if current is None or current.state is members.MemberState.DEAD:
            return
        if target.host not in self._suspected_at:
            self._suspect(current)

    async def _probe_directly(self, target: members.Member) -> bool:
        link = self.link_to(target)
        message = self._make_message()
        sent_at = self._clock.now()
        try:
            answer = await link.call(
                lambda agent: agent.probe(gossip=message),
                timeout=PROBE_TIMEOUT_SECONDS,
            )
        except (errors.LinkError, errors.LinkLostError):
            link.close()
            return False
        self._suspected_at.pop(target.host, None)
        sender = self._merge_message(answer.gossip)
        vouch = freshness.Vouch(
            version=answer.gossip.vouch.version,
            age=clock.to_seconds(answer.gossip.vouch.ageMs),
        )
        await self._on_vouch(sender, vouch, sent_at)
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
                for helper in helpers[:INDIRECT_PROBE_HELPERS]
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

    def _mark_overdue_suspects_dead(self) -> None:
        limit = self._clock.now() - self._suspicion_seconds()
        overdue = [
            host for host, since in self._suspected_at.items() if since < limit
        ]
        for host in overdue:
            self._suspected_at.pop(host)
            member = self._table.get(host)
            if member and member.is_reachable:
                _logger.warning(
                    'host {} is declared dead: it answered no probe in time',
                    host,
                )
                self.announce(
                    dataclasses.replace(
                        member,
                        state=members.MemberState.DEAD,
                    ),
                )

    def _suspicion_seconds(self) -> float:
        return SUSPICION_SECONDS_PER_DOUBLING * self._fleet_doublings()

    def _fleet_doublings(self) -> int:
        return math.ceil(math.log2(len(self._table.all()) + 1))

    def _merge_message(self, message: typing.Any) -> members.Member:
        sender = members.from_message(message.sender)
        self.announce(sender)
        for update in message.updates:
            self.announce(members.from_message(update))
        return sender

    def _make_message(self) -> dict[str, typing.Any]:
        vouch = self._keeper.vouch()
        unknown = vouch.age == math.inf
        return {
            'sender': members.to_message(self._table.own),
            'updates': [
                members.to_message(report) for report in self._next_updates()
            ],
            'vouch': {
                'version': identifiers.NO_VERSION if unknown else vouch.version,
                'ageMs': 0 if unknown else clock.to_milliseconds(vouch.age) + 1,
            },
        }

    def _next_updates(self) -> list[members.Member]:
        due = []
        for host in list(self._pending_reports)[:MAX_UPDATES_PER_MESSAGE]:
            pending = self._pending_reports[host]
            due.append(pending.report)
            pending.transmissions_left -= 1
            if pending.transmissions_left <= 0:
                self._pending_reports.pop(host)
            else:
                self._pending_reports.move_to_end(host)
        return due

    def _enqueue(self, report: members.Member) -> None:
        transmissions = TRANSMISSIONS_PER_DOUBLING * self._fleet_doublings()
        self._pending_reports[report.host] = _PendingReport(
            report=report,
            transmissions_left=transmissions,
        )
        self._pending_reports.move_to_end(report.host, last=False)
