"""The tasks that this host does for the fleet: owning and counting."""

import asyncio
import typing

import logbook

from egretstep import clock, identifiers
from egretstep.limits import bucket, grants
from egretstep.membership import (
    claims,
    directory,
    leases,
    registry,
    task_ranking,
)
from egretstep.pooling import brokers
from egretstep.replication import failover, primary
from egretstep.routing import dispatcher
from egretstep.settings import deployment
from egretstep.supervision import supervisor

COUNTING = claims.TaskName('counting')
HAND_OVER_SECONDS = 2.0
# This host and another one.
SUCCESSORS = 2
STORE_POLL_SECONDS = 0.05
_ANY_ZONE = identifiers.ZoneName('')
_logger = logbook.Logger('tasks')


class FleetTasks:
    """Starts what this host has claimed, and hands it over at the end."""

    def __init__(
        self,
        *,
        keeper: leases.LeaseKeeper,
        hosts: directory.Directory,
        servers: registry.ServerRegistry,
        broker_table: brokers.BrokerTable,
        make_failover: typing.Callable[[], failover.FailoverCoordinator],
        current: typing.Callable[[], deployment.Deployment],
        time_source: clock.Clock,
        is_first_start: bool,
    ) -> None:
        self._keeper = keeper
        self._hosts = hosts
        self._servers = servers
        self._brokers = broker_table
        self._make_failover = make_failover
        self._current = current
        self._clock = time_source
        self._is_first_start = is_first_start
        self._owners: dict[deployment.ServiceName, primary.PrimaryOwner] = {}
        self._started_at = time_source.now()
        self._own_before_start: set[claims.TaskName] = set()
        self._counter: grants.FleetRateLimiter | None = None
        self._counting_claim: claims.Claim | None = None
        self._supervisor = supervisor.Supervisor(name='owners')
        self._wanted: tuple[task_ranking.Task, ...] = ()
        self._wanted_from: tuple[deployment.Deployment, int] | None = None

    def wanted(self) -> tuple[task_ranking.Task, ...]:
        """Return the tasks that the configuration asks for."""
        basis = (self._current(), self._servers.revision)
        former = self._wanted_from
        is_same = former and former[0] is basis[0] and former[1] == basis[1]
        if not is_same:
            self._wanted_from = basis
            self._wanted = self._find_wanted(basis[0])
        return self._wanted

    def _find_wanted(
        self,
        current: deployment.Deployment,
    ) -> tuple[task_ranking.Task, ...]:
        tasks = []
        for service in current.services:
            zone = self._servers.primary_zone(service)
            if zone is not None:
                name = dispatcher.ownership_task(service)
                tasks.append(task_ranking.Task(name=name, zone=zone))
        if current.workspaces:
            tasks.append(task_ranking.Task(name=COUNTING, zone=_ANY_ZONE))
        return tuple(tasks)

    def start(self, claim: claims.Claim) -> None:
        """Begin a task that this host has claimed."""
        if claim.task == COUNTING:
            self._start_counting(claim)
            return
        service = dispatcher.owned_service(claim.task)
        owner = primary.PrimaryOwner(
            service=service,
            claim=claim,
            keeper=self._keeper,
            broker_table=self._brokers,
            failover_coordinator=self._make_failover(),
            time_source=self._clock,
        )
        asyncio.ensure_future(self._replace_owner(service, owner))

    def _start_counting(self, claim: claims.Claim) -> None:
        """Count with buckets that were empty when nobody else gave tokens.

        An earlier process of this host was gone before this one started.
        """
        since = self._clock.now()
        if claim.epoch == 1 and self._is_first_start:
            since = bucket.LONG_AGO
        elif claim.task in self._own_before_start:
            since = self._started_at
        self._own_before_start.discard(claim.task)
        self._counting_claim = claim
        self._counter = grants.FleetRateLimiter(
            current_deployment=self._current,
            hosts=self._hosts.up_host_names,
            time_source=self._clock,
            empty_at=since,
        )

    def note_claims(self) -> None:
        """Remember which tasks an earlier process of this host held."""
        own = self._hosts.own
        self._own_before_start = {
            claim.task
            for claim in self._keeper.known.values()
            if claim.host == own.host
            and claim.boot < own.boot
            and claim.is_settled
        }

    def owner(
        self,
        service: deployment.ServiceName,
    ) -> primary.PrimaryOwner | None:
        """Return the owner of a service, if it is this host."""
        return self._owners.get(service)

    def is_handover_pending(self, service: deployment.ServiceName) -> bool:
        """Tell whether a service was handed to this host just now."""
        claim = self._keeper.known.get(dispatcher.ownership_task(service))
        if claim is None or not self._keeper.is_mine(claim):
            return False
        owner = self._owners.get(service)
        if owner is not None and owner.epoch == claim.epoch:
            return False
        return claim.is_released or claim.is_settled

    def starts_in(self, service: deployment.ServiceName) -> float:
        """Return the seconds until this host takes a lost service over."""
        return self._keeper.time_until_start(dispatcher.ownership_task(service))

    def take_tokens(
        self,
        workspace: identifiers.WorkspaceName,
        wanted: int,
        caller: identifiers.HostName,
    ) -> grants.Grant | None:
        """Give tokens of a workspace, if this host counts."""
        claim = self._counting_claim
        if claim is None or self._counter is None:
            return None
        if not self._keeper.is_held(COUNTING, claim.epoch):
            return None
        return self._counter.take(workspace, wanted, caller)

    def record_contact(self, caller: identifiers.HostName) -> None:
        """Remember that a host takes its tokens here."""
        if self._counter is not None:
            self._counter.record_contact(caller)

    async def hand_over(self, deadline: float) -> None:
        """Give all tasks to other hosts, by a monotonic time.

        While the store is away no successor can be recorded, so that this
        host goes on with its tasks for as long as it may.
        """
        latest = deadline - HAND_OVER_SECONDS
        while not self._keeper.store_answers and self._clock.now() < latest:
            await asyncio.sleep(STORE_POLL_SECONDS)
        others = {
            task: claim
            for task, claim in self._keeper.known.items()
            if not self._keeper.is_mine(claim)
        }
        successors = task_ranking.rank_hosts(
            tasks=self.wanted(),
            known=others,
            hosts=self._hosts,
            limit=SUCCESSORS,
        )
        mine = [
            claim
            for claim in self._keeper.known.values()
            if self._keeper.is_mine(claim)
        ]
        await asyncio.gather(
            *(self._hand_over(each, successors) for each in mine)
        )

    async def _hand_over(
        self,
        claim: claims.Claim,
        successors: task_ranking.Ranking,
    ) -> None:
        owner = self._owner_of(claim)
        if owner is not None:
            await owner.stop(longest_wait=HAND_OVER_SECONDS)
        own = self._hosts.own.host
        ranked = successors.get(claim.task, ())
        following = [host for host in ranked if host.host != own]
        if following:
            await self._keeper.hand_over(claim.task, following[0])
        if owner is not None:
            owner.redirect_waiting()

    def _owner_of(self, claim: claims.Claim) -> primary.PrimaryOwner | None:
        if claim.task == COUNTING:
            return None
        return self._owners.get(dispatcher.owned_service(claim.task))

    async def _replace_owner(
        self,
        service: deployment.ServiceName,
        owner: primary.PrimaryOwner,
    ) -> None:
        await self._supervisor.stop_child(service)
        self._owners[service] = owner
        self._supervisor.start(
            supervisor.Child(name=service, run=owner.run),
        )
