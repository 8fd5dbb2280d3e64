"""Finds the host that runs a statement, and another one if that is safe."""

import asyncio
import dataclasses
import random
import typing

from egretstep import clock, errors, identifiers
from egretstep.backends import answers, connection
from egretstep.membership import (
    claims,
    directory,
    fleet_links,
    leases,
    registry,
)
from egretstep.observability import decisions
from egretstep.pooling import failure_answers, local_host
from egretstep.pooling import work as work_module
from egretstep.routing import patience
from egretstep.settings import deployment

OWN_LINK = work_module.LinkId(0)
FIRST_PAUSE_SECONDS = 0.02
LONGEST_PAUSE_SECONDS = 0.15
NO_OWNER_RETRY_MS = 300
AVOID_SERVER_SECONDS = 1.0
_TASK_PREFIX = 'service-'


def task_of(service: deployment.ServiceName) -> claims.TaskName:
    """Return the name of the task of owning a service."""
    return claims.TaskName(_TASK_PREFIX + service)


def service_of(task: claims.TaskName) -> deployment.ServiceName:
    """Return the service of a task of owning one."""
    return deployment.ServiceName(task.removeprefix(_TASK_PREFIX))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dispatched:
    """An answer, and where its transaction stays open."""

    answer: answers.Answer
    host: identifiers.HostName
    server: connection.ServerId = connection.ServerId('')


class Dispatcher:
    """Sends statements to owners and to brokers of replicas."""

    def __init__(
        self,
        *,
        hosts: directory.Directory,
        servers: registry.ServerRegistry,
        keeper: leases.LeaseKeeper,
        peers: fleet_links.FleetLinks,
        local: local_host.LocalHost,
        time_source: clock.Clock,
    ) -> None:
        self._hosts = hosts
        self._servers = servers
        self._keeper = keeper
        self._peers = peers
        self._local = local
        self._clock = time_source
        self._avoided_until: dict[connection.ServerId, float] = {}

    async def dispatch(self, work: work_module.Work) -> Dispatched:
        """Run a statement outside a transaction, or one that opens it.

        A try that had no effect is repeated elsewhere while there is time.
        """
        deadline = self._clock.now() + work.timeout
        pause = FIRST_PAUSE_SECONDS
        may_read_replica = work.max_staleness is not None
        while True:
            tried = await self._try(work, may_read_replica, deadline)
            answer = tried.answer
            if not self._may_repeat(work, answer):
                return tried
            remaining = deadline - self._clock.now()
            decisions.tried_again(
                work.statement_id,
                answer,
                tried.host,
                tried.server,
                remaining,
            )
            if not patience.is_worth_repeating(
                answer,
                waited=work.timeout - remaining,
                remaining=remaining,
            ):
                return tried
            if not tried.server:
                await asyncio.sleep(pause * random.uniform(0.5, 1))
                pause = min(pause * 2, LONGEST_PAUSE_SECONDS)
            elif answer.code is answers.Code.BEHIND:
                may_read_replica = False

    async def continue_at(
        self,
        host: identifiers.HostName,
        work: work_module.Work,
    ) -> answers.Answer:
        """Run a statement in the transaction that a host holds open."""
        try:
            return await self._run_at(host, work)
        except errors.LinkError as error:
            return failure_answers.transaction_lost(
                work, has_written=True, was_sent=False, reason=str(error)
            )
        except errors.LinkLostError as error:
            return failure_answers.transaction_lost(
                work, has_written=True, was_sent=True, reason=str(error)
            )

    async def release(
        self,
        host: identifiers.HostName,
        pin_id: identifiers.PinId,
        release_here: typing.Callable[[identifiers.PinId], None],
    ) -> None:
        """Roll back an open transaction."""
        if host == self._hosts.own.host:
            release_here(pin_id)
        else:
            await self._peers.release(host, pin_id)

    def _may_repeat(
        self,
        work: work_module.Work,
        answer: answers.Answer,
    ) -> bool:
        if answer.is_ok or not answer.has_no_effect:
            return False
        if work.is_read_only:
            return True
        return answer.code is not answers.Code.ABORTED or not answer.was_sent

    async def _try(
        self,
        work: work_module.Work,
        may_read_replica: bool,
        deadline: float,
    ) -> Dispatched:
        replica = self._choose_replica(work) if may_read_replica else None
        host = self._host_for(work, replica)
        server = replica.server if replica else connection.ServerId('')
        if host is None or self._hosts.is_suspected(host):
            return Dispatched(
                answer=answers.refusal(
                    answers.Code.OVERLOADED,
                    f'the owner ({host}) does not answer',
                    retry_after_ms=NO_OWNER_RETRY_MS,
                ),
                host=host or self._hosts.own.host,
            )
        bounded = dataclasses.replace(
            work,
            server=server,
            timeout=deadline - self._clock.now(),
        )
        answer = await self._run_once(host, bounded)
        if replica and not answer.is_ok and answer.has_no_effect:
            self._avoid(replica, answer)
        return Dispatched(answer=answer, host=host, server=server)

    async def _run_once(
        self,
        host: identifiers.HostName,
        work: work_module.Work,
    ) -> answers.Answer:
        try:
            return await self._run_at(host, work)
        except errors.LinkError as error:
            return answers.refusal(
                answers.Code.OVERLOADED,
                str(error),
                retry_after_ms=failure_answers.RETRY_AFTER_MS,
            )
        except errors.LinkLostError as error:
            return failure_answers.connection_broken(
                work, str(error), was_sent=True
            )

    async def _run_at(
        self,
        host: identifiers.HostName,
        work: work_module.Work,
    ) -> answers.Answer:
        if host == self._hosts.own.host:
            return await self._local.execute(work, OWN_LINK)
        return await self._peers.execute(host, work)

    def _host_for(
        self,
        work: work_module.Work,
        replica: connection.BackendServer | None,
    ) -> identifiers.HostName | None:
        if replica is None:
            claim = self._keeper.known.get(task_of(work.service))
            return claim.host if claim else None
        return self._hosts.best(replica.server, replica.zone).host

    def _choose_replica(
        self,
        work: work_module.Work,
    ) -> connection.BackendServer | None:
        """Choose a replica, one of this host's zone if there is one."""
        now = self._clock.now()
        fit = [
            server
            for server in self._servers.of_service(work.service)
            if server.role is connection.Role.REPLICA
            and self._servers.takes_work(server)
            and self._avoided_until.get(server.server, 0) <= now
        ]
        own_zone = self._hosts.own.zone
        near = [server for server in fit if server.zone == own_zone]
        if near:
            return random.choice(near)
        has_near_primary = self._servers.primary_zone(work.service) == own_zone
        if has_near_primary or not fit:
            return None
        return random.choice(fit)

    def _avoid(
        self,
        replica: connection.BackendServer,
        answer: answers.Answer,
    ) -> None:
        if answer.code is answers.Code.OVERLOADED and not answer.was_sent:
            return
        until = self._clock.now() + AVOID_SERVER_SECONDS
        self._avoided_until[replica.server] = until
