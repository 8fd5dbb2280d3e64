"""Queries to the hosts that run the tasks of the fleet.

Owners of services return acknowledged log positions, and the counting host
grants tokens. A query is answered locally if this host runs the task.
"""

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

CONTACT_INTERVAL_SECONDS = 0.7
MAX_PROBED_HOSTS = 3
STANDBY_KEY = 'counting-standby'
_ANY_ZONE = identifiers.ZoneName('')
_logger = logbook.Logger('questions')


class FleetQueries:
    """Queries owners and the counting host, and detects isolation.

    `current_deployment` returns the configuration in force.
    """

    def __init__(
        self,
        *,
        hosts: directory.Directory,
        keeper: leases.LeaseKeeper,
        peers: fleet_links.FleetLinks,
        fleet_tasks: tasks.FleetTasks,
        current_deployment: typing.Callable[[], deployment.Deployment],
        time_source: clock.Clock,
    ) -> None:
        self._hosts = hosts
        self._keeper = keeper
        self._peers = peers
        self._tasks = fleet_tasks
        self._current_deployment = current_deployment
        self._clock = time_source
        self._is_isolated = False
        self._unresponsive_claim: claims.Claim | None = None
        self._positions: dict[
            deployment.ServiceName,
            evidence.AcknowledgedPositions,
        ] = {}
        self._standby_failed_at = float('-inf')

    @property
    def is_isolated(self) -> bool:
        """Return whether no probed host answered at the last check."""
        return self._is_isolated

    def positions_of(
        self,
        service: deployment.ServiceName,
    ) -> evidence.AcknowledgedPositions:
        """Return the acknowledged positions of a service."""
        positions = self._positions.get(service)
        if positions is None:
            positions = evidence.AcknowledgedPositions(
                query_owner=lambda: self.query_acknowledged_position(service),
                time_source=self._clock,
            )
            self._positions[service] = positions
        return positions

    async def query_acknowledged_position(
        self,
        service: deployment.ServiceName,
    ) -> evidence.Sample | None:
        """Query the owner of a service for the acknowledged log position.

        Returns None if the service has no known owner, or if the owner does
        not answer or does not serve.
        """
        claim = self._keeper.known.get(dispatcher.ownership_task(service))
        if claim is None:
            return None
        sent_at = self._clock.now()
        owner = self._tasks.owner(service)
        if claim.host == self._hosts.own.host:
            reply = owner.acknowledged() if owner else None
        else:
            reply = await self._peers.acknowledged(claim.host, service)
        if reply is None:
            return None
        epoch, position = reply
        return evidence.Sample(
            sent_at=sent_at,
            epoch=epoch,
            position=position,
        )

    async def request_tokens(
        self,
        workspace: identifiers.WorkspaceName,
        wanted: int,
    ) -> grants.Grant | None:
        """Request up to `wanted` tokens of a workspace.

        They come from a standby if there is no counting host or it does not
        answer. Returns None if there is no answer from that host either.
        """
        claim = self._keeper.known.get(tasks.COUNTING_TASK)
        own = self._hosts.own.host
        if claim is not None and claim.host == own:
            grant = self._tasks.take_tokens(workspace, wanted, own)
            if grant is not None:
                return grant
        demands = [{'workspace': workspace, 'wanted': wanted}]
        # Callers don't wait again for a counting host that did not answer the
        # last call; `maintain_contact` goes on trying.
        if claim is None or claim == self._unresponsive_claim:
            return await self._request_pooled(workspace, wanted)
        reply = await self._call_counting_host(demands)
        if reply is None or not reply.serving:
            return await self._request_pooled(workspace, wanted)
        return _decode_grant(reply.lots[0])

    async def _request_pooled(
        self,
        workspace: identifiers.WorkspaceName,
        wanted: int,
    ) -> grants.Grant | None:
        """Request tokens of the rate that hosts pool at a standby."""
        own = self._hosts.own.host
        if self._standby_host() == own:
            return self._tasks.standby.take(workspace, wanted, own)
        demands = [{'workspace': workspace, 'wanted': wanted}]
        reply = await self._call_standby(demands)
        return None if reply is None else _decode_grant(reply.lots[0])

    def _standby_host(self) -> identifiers.HostName:
        return self._hosts.best(STANDBY_KEY, _ANY_ZONE).host

    async def _call_standby(
        self, demands: list[dict[str, typing.Any]]
    ) -> typing.Any:
        """Call the standby; without demands, only contribute to the pool.

        Returns None if it does not answer. It is then not called again until
        the next contact is due, because callers must not wait each time.
        """
        own = self._hosts.own.host
        standby_host = self._standby_host()
        if standby_host == own:
            self._tasks.standby.record_contact(own)
            return None
        retry_at = self._standby_failed_at + CONTACT_INTERVAL_SECONDS
        if self._clock.now() < retry_at:
            return None
        try:
            return await self._peers.call(
                standby_host,
                lambda remote: remote.takePooledTokens(
                    demands=demands, caller=own
                ),
            )
        except (errors.LinkError, errors.LinkLostError) as error:
            _logger.info('standby {} does not answer: {}', standby_host, error)
            self._standby_failed_at = self._clock.now()
            return None

    async def _call_counting_host(
        self,
        demands: list[dict[str, typing.Any]],
    ) -> typing.Any:
        claim = self._keeper.known.get(tasks.COUNTING_TASK)
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
            self._unresponsive_claim = claim
            return None
        self._unresponsive_claim = None
        return reply

    def fallback_rate(
        self,
        workspace: identifiers.WorkspaceName,
        used: float,
    ) -> float:
        """Return the operations per second without a counting host.

        `used` is this host's recent rate of operations.
        """
        settings = self._current_deployment().workspaces.get(workspace)
        if settings is None:
            return 0
        return grants.fallback_rate(
            settings,
            hosts=len(self._hosts.hosts),
            used=used,
        )

    async def maintain_contact(self) -> None:
        """Call the counting host at regular intervals until cancelled.

        The counting host reserves rate for the hosts that do not call it. If
        it does not answer, a few other hosts are probed in order to find out
        whether this one is isolated.
        """
        while True:
            await asyncio.sleep(CONTACT_INTERVAL_SECONDS)
            claim = self._keeper.known.get(tasks.COUNTING_TASK)
            reply = await self._call_counting_host([])
            # The share of the counting host is in the rate that it grants.
            is_served = reply is not None and reply.serving
            if not is_served and not self._tasks.is_counting:
                await self._call_standby([])
            own = self._hosts.own.host
            if reply is not None or claim is None or claim.host == own:
                self._set_isolated(isolated=False)
            else:
                self._set_isolated(isolated=await self._reaches_no_host())

    async def _reaches_no_host(self) -> bool:
        others = [
            host
            for host in self._hosts.up_host_names()
            if host != self._hosts.own.host
        ]
        probed = random.sample(others, min(MAX_PROBED_HOSTS, len(others)))
        reached = await asyncio.gather(
            *(self._peers.reaches(host) for host in probed)
        )
        return bool(probed) and not any(reached)

    def _set_isolated(self, *, isolated: bool) -> None:
        if isolated != self._is_isolated:
            state = 'lost' if isolated else 'regained'
            _logger.info('contact with the other hosts is {}', state)
        self._is_isolated = isolated


def _decode_grant(batch: typing.Any) -> grants.Grant:
    return grants.Grant(
        granted=batch.granted,
        wait=clock.to_seconds(batch.waitMs),
        retry_after=clock.to_seconds(batch.retryAfterMs),
    )
