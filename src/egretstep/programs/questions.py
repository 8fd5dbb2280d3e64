"""What this host asks of the hosts that do tasks for the fleet."""

import asyncio
import random
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.limits import grants
from egretstep.membership import claims, directory, fleet_links, leases
from egretstep.programs import tasks
from egretstep.replication import evidence
from egretstep.routing import dispatcher
from egretstep.settings import deployment

COUNTED_SECONDS = 0.7
PROBED_HOSTS = 3
_logger = logbook.Logger('questions')


class Questions:
    """Asks owners and the counting host, which may be this one."""

    def __init__(
        self,
        *,
        hosts: directory.Directory,
        keeper: leases.LeaseKeeper,
        peers: fleet_links.FleetLinks,
        fleet_tasks: tasks.FleetTasks,
        current: typing.Callable[[], deployment.Deployment],
        time_source: clock.Clock,
    ) -> None:
        self._hosts = hosts
        self._keeper = keeper
        self._peers = peers
        self._tasks = fleet_tasks
        self._current = current
        self._clock = time_source
        self._is_isolated = False
        self._unanswered: claims.Claim | None = None

    @property
    def is_isolated(self) -> bool:
        """Tell whether no other host answered this one lately."""
        return self._is_isolated

    async def ask_acknowledged(
        self,
        service: deployment.ServiceName,
    ) -> evidence.Sample | None:
        """Ask the owner of a service how far its log is acknowledged."""
        claim = self._keeper.known.get(dispatcher.ownership_task(service))
        if claim is None:
            return None
        asked_at = self._clock.now()
        owner = self._tasks.owner(service)
        if claim.host == self._hosts.own.host:
            reply = owner.acknowledged() if owner else None
        else:
            reply = await self._peers.acknowledged(claim.host, service)
        if reply is None:
            return None
        epoch, position = reply
        return evidence.Sample(
            asked_at=asked_at,
            epoch=epoch,
            position=position,
        )

    async def ask_tokens(
        self,
        workspace: identifiers.WorkspaceName,
        wanted: int,
    ) -> grants.Grant | None:
        """Ask the counting host for tokens; none if it does not answer."""
        claim = self._keeper.known.get(tasks.COUNTING)
        own = self._hosts.own.host
        if claim is not None and claim.host == own:
            return self._tasks.take_tokens(workspace, wanted, own)
        if claim is not None and claim == self._unanswered:
            # Callers must not wait for a host that was silent just now.
            return None
        demands = [{'workspace': workspace, 'wanted': wanted}]
        reply = await self._call_counter(demands)
        if reply is None or not reply.serving:
            return None
        lot = reply.lots[0]
        return grants.Grant(
            granted=lot.granted,
            wait=clock.to_seconds(lot.waitMs),
            retry_after=clock.to_seconds(lot.retryAfterMs),
        )

    async def _call_counter(
        self,
        demands: list[dict[str, typing.Any]],
    ) -> typing.Any:
        claim = self._keeper.known.get(tasks.COUNTING)
        own = self._hosts.own.host
        if claim is None or claim.host == own:
            self._tasks.record_contact(own)
            return None
        try:
            reply = await self._peers.call(
                claim.host,
                lambda remote: remote.takeTokens(demands=demands, caller=own),
            )
        except (errors.LinkError, errors.LinkLostError):
            self._unanswered = claim
            return None
        self._unanswered = None
        return reply

    def fallback_rate(
        self,
        workspace: identifiers.WorkspaceName,
        used: float,
    ) -> float:
        """Return what this host may admit a second while nobody counts."""
        settings = self._current().workspaces.get(workspace)
        if settings is None:
            return 0
        return grants.fallback_rate(
            settings,
            hosts=len(self._hosts.hosts),
            used=used,
        )

    async def stay_counted(self) -> None:
        """Call the counting host, so that it grants this host's share.

        If it does not answer, find out whether any other host does.
        """
        while True:
            await asyncio.sleep(COUNTED_SECONDS)
            claim = self._keeper.known.get(tasks.COUNTING)
            reply = await self._call_counter([])
            own = self._hosts.own.host
            if reply is not None or claim is None or claim.host == own:
                self._note_isolated(isolated=False)
            else:
                self._note_isolated(isolated=await self._reaches_nobody())

    async def _reaches_nobody(self) -> bool:
        others = [
            host
            for host in self._hosts.up_host_names()
            if host != self._hosts.own.host
        ]
        probed = random.sample(others, min(PROBED_HOSTS, len(others)))
        reached = await asyncio.gather(
            *(self._peers.reaches(host) for host in probed)
        )
        return bool(probed) and not any(reached)

    def _note_isolated(self, *, isolated: bool) -> None:
        if isolated != self._is_isolated:
            state = 'lost' if isolated else 'regained'
            _logger.info('other hosts are {}', state)
        self._is_isolated = isolated
