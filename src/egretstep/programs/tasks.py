"""The tasks that this host runs for the fleet while it holds their leases.

There is one task for the ownership of each service, the counting task, which
limits the rates of the workspaces, and the usage task, which reports their
usage to the platform.
"""

import asyncio
import typing

import logbook

from egretstep import clock, identifiers
from egretstep.limits import bucket, grants, standby
from egretstep.membership import (
    claims,
    directory,
    fencing,
    lease_renewal,
    leases,
    registry,
    task_ranking,
)
from egretstep.peers import usage_messages
from egretstep.pooling import brokers
from egretstep.programs import usage_service
from egretstep.replication import failover, primary
from egretstep.routing import dispatcher
from egretstep.settings import deployment
from egretstep.supervision import supervisor
from egretstep.usage import reporter

COUNTING_TASK = claims.TaskName('counting')
USAGE_TASK = reporter.TASK
_FLEET_WIDE_TASKS = frozenset((COUNTING_TASK, USAGE_TASK))
HAND_OVER_TIMEOUT_SECONDS = 2.0
# The ranking may include this host, which cannot be its own successor.
MAX_CANDIDATES = 2
STORE_CHECK_INTERVAL_SECONDS = 0.05
_ANY_ZONE = identifiers.ZoneName('')
_logger = logbook.Logger('tasks')


class FleetTasks:
    """Runs the tasks that this host has claimed, and hands them over.

    `make_failover` returns a new failover coordinator for each owned service.
    `standby` limits rates for hosts that can't reach the counting host.
    """

    def __init__(
        self,
        *,
        keeper: leases.LeaseKeeper,
        renewal: lease_renewal.LeaseRenewal,
        hosts: directory.Directory,
        servers: registry.ServerRegistry,
        broker_table: brokers.BrokerTable,
        make_failover: typing.Callable[[], failover.FailoverCoordinator],
        current_deployment: typing.Callable[[], deployment.Deployment],
        time_source: clock.Clock,
    ) -> None:
        self._usage: usage_service.UsageService = usage_service.DISABLED
        self._keeper = keeper
        self._renewal = renewal
        self._hosts = hosts
        self._servers = servers
        self._brokers = broker_table
        self._make_failover = make_failover
        self._current_deployment = current_deployment
        self._clock = time_source
        self._owners: dict[deployment.ServiceName, primary.PrimaryOwner] = {}
        self._started_at = time_source.now()
        self._previous_epochs: dict[claims.TaskName, int] = {}
        self._rate_limiter: grants.FleetRateLimiter | None = None
        self._counting_claim: claims.Claim | None = None
        self.standby = standby.StandbyRateLimiter(
            current_deployment=current_deployment,
            hosts=hosts.up_host_names,
            time_source=time_source,
        )
        self._supervisor = supervisor.Supervisor(name='owners')
        self._wanted: tuple[task_ranking.Task, ...] = ()
        self._wanted_inputs: tuple[deployment.Deployment, int] | None = None

    @property
    def is_counting(self) -> bool:
        """Return whether this host holds the lease on the counting task."""
        claim = self._counting_claim
        if claim is None:
            return False
        return self._keeper.is_held(COUNTING_TASK, claim.epoch)

    def add_usage_task(self, usage: usage_service.UsageService) -> None:
        """Run the usage task as well, with a service that may be disabled."""
        self._usage = usage

    def wanted(self) -> tuple[task_ranking.Task, ...]:
        """Return the tasks that the fleet has to run.

        They are computed again only when the configuration or the registered
        servers have changed.
        """
        inputs = (self._current_deployment(), self._servers.revision)
        cached_inputs = self._wanted_inputs
        is_cached = (
            cached_inputs
            and cached_inputs[0] is inputs[0]
            and cached_inputs[1] == inputs[1]
        )
        if not is_cached:
            self._wanted_inputs = inputs
            self._wanted = self._compute_wanted(inputs[0])
        return self._wanted

    def _compute_wanted(
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
            tasks.append(task_ranking.Task(name=COUNTING_TASK, zone=_ANY_ZONE))
        if self._usage.is_enabled:
            tasks.append(task_ranking.Task(name=USAGE_TASK, zone=_ANY_ZONE))
        return tuple(tasks)

    def start(self, claim: claims.Claim) -> None:
        """Start a task that this host has claimed.

        The owner of a service starts in the background, after the former
        owner on this host, if any, has been stopped.
        """
        if claim.task == COUNTING_TASK:
            self._start_counting(claim)
            return
        if claim.task == USAGE_TASK:
            self._usage.start(claim)
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
        """Start with token buckets that grant nothing twice.

        They count as empty at a time when no earlier holder of the task can
        have granted tokens any more. That is now, or the start of this process
        if an earlier process of this host held the task in the epoch before,
        as that one had ended by then. If the fleet starts for the first time,
        they are full.
        """
        empty_at = self._clock.now()
        if claim.is_settled and fencing.is_first_of_era(claim.epoch):
            empty_at = bucket.LONG_AGO
        elif self._previous_epochs.get(claim.task) == claim.epoch - 1:
            empty_at = self._started_at
        self._counting_claim = claim
        self._rate_limiter = grants.FleetRateLimiter(
            current_deployment=self._current_deployment,
            hosts=self._hosts.up_host_names,
            time_source=self._clock,
            empty_at=empty_at,
        )

    def record_previous_claims(self) -> None:
        """Record the claims of an earlier process of this host."""
        own = self._hosts.own
        self._previous_epochs = {
            claim.task: claim.epoch
            for claim in self._keeper.known.values()
            if claim.host == own.host
            and claim.boot < own.boot
            and claim.is_settled
        }

    def owner(
        self,
        service: deployment.ServiceName,
    ) -> primary.PrimaryOwner | None:
        """Return the owner of a service on this host, None without one."""
        return self._owners.get(service)

    def is_handover_pending(self, service: deployment.ServiceName) -> bool:
        """Return whether this host was given a service but is not serving."""
        claim = self._keeper.known.get(dispatcher.ownership_task(service))
        if claim is None or not self._keeper.is_mine(claim):
            return False
        owner = self._owners.get(service)
        if owner is not None and owner.epoch == claim.epoch:
            return False
        return claim.is_released or claim.is_settled

    def time_until_start(self, service: deployment.ServiceName) -> float:
        """Return the seconds until this host takes over a service.

        Zero means that no takeover is pending.
        """
        return self._keeper.time_until_start(dispatcher.ownership_task(service))

    def take_tokens(
        self,
        workspace: identifiers.WorkspaceName,
        wanted: int,
        caller: identifiers.HostName,
    ) -> grants.Grant | None:
        """Grant up to `wanted` tokens of a workspace to the host `caller`.

        Returns None unless this host holds the lease on the counting task.
        """
        if self._rate_limiter is None or not self.is_counting:
            return None
        return self._rate_limiter.take(workspace, wanted, caller)

    def take_usage(
        self, call: usage_messages.UsageCall
    ) -> usage_messages.UsageReply:
        """Take the counts of usage that another host sent."""
        return self._usage.accept(call)

    def record_contact(self, caller: identifiers.HostName) -> None:
        """Record that a host reached this one as the counting host."""
        if self._rate_limiter is not None and self.is_counting:
            self._rate_limiter.record_contact(caller)

    async def hand_over(self, deadline: float) -> None:
        """Hand over all tasks of this host to other hosts.

        No successor can be recorded while the store does not answer; this
        host then runs its tasks until `HAND_OVER_TIMEOUT_SECONDS` before
        `deadline`, a monotonic time in seconds.
        """
        latest_start = deadline - HAND_OVER_TIMEOUT_SECONDS
        while (
            not self._renewal.store_answers and self._clock.now() < latest_start
        ):
            await asyncio.sleep(STORE_CHECK_INTERVAL_SECONDS)
        other_claims = {
            task: claim
            for task, claim in self._keeper.known.items()
            if not self._keeper.is_mine(claim)
        }
        successors = task_ranking.rank_hosts(
            tasks=self.wanted(),
            known=other_claims,
            hosts=self._hosts,
            limit=MAX_CANDIDATES,
        )
        own_claims = [
            claim
            for claim in self._keeper.known.values()
            if self._keeper.is_mine(claim)
        ]
        await asyncio.gather(
            *(self._hand_over_task(each, successors) for each in own_claims)
        )

    async def _hand_over_task(
        self,
        claim: claims.Claim,
        successors: task_ranking.Ranking,
    ) -> None:
        owner = self._owner_for_claim(claim)
        if owner is not None:
            await owner.stop(longest_wait=HAND_OVER_TIMEOUT_SECONDS)
        if claim.task == USAGE_TASK:
            # No call may be under way when the successor begins.
            await self._usage.stop()
        own = self._hosts.own.host
        ranked = successors.get(claim.task, ())
        candidates = [host for host in ranked if host.host != own]
        if candidates:
            await self._keeper.hand_over(claim.task, candidates[0])
        if owner is not None:
            owner.redirect_waiting()

    def _owner_for_claim(
        self, claim: claims.Claim
    ) -> primary.PrimaryOwner | None:
        if claim.task in _FLEET_WIDE_TASKS:
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
