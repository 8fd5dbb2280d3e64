"""Sends each statement to the host that can run it, with safe retries.

A write goes to the host that owns the service. A read that accepts stale
data may go to a host that has connections to a replica.
"""

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
from egretstep.routing import retry_policy
from egretstep.settings import deployment

LOCAL_LINK_ID = work_module.LinkId(0)
INITIAL_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.15
NO_OWNER_RETRY_AFTER_MS = 300
REPLICA_COOLDOWN_SECONDS = 1.0
_TASK_PREFIX = 'service-'


def ownership_task(service: deployment.ServiceName) -> claims.TaskName:
    """Return the name under which hosts claim the ownership of a service."""
    return claims.TaskName(_TASK_PREFIX + service)


def owned_service(task: claims.TaskName) -> deployment.ServiceName:
    """Return the service that an ownership task is about."""
    return deployment.ServiceName(task.removeprefix(_TASK_PREFIX))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dispatched:
    """An answer and the host that gave it.

    If the statement opened a transaction, `host` holds it. `server` is the
    replica that was chosen; it is empty when the statement went to the
    primary.
    """

    answer: answers.Answer
    host: identifiers.HostName
    server: connection.ServerId = connection.ServerId('')


class Dispatcher:
    """Sends statements to service owners and to hosts near a replica."""

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
        self._cooldown_until: dict[connection.ServerId, float] = {}

    async def dispatch(self, work: work_module.Work) -> Dispatched:
        """Run a statement outside a transaction, or one that opens one.

        An attempt that had no effect is repeated, on another host or server
        where there is one, as long as `retry_policy` allows it.
        """
        deadline = self._clock.now() + work.timeout
        backoff = INITIAL_BACKOFF_SECONDS
        may_read_replica = work.max_staleness is not None
        while True:
            dispatched = await self._attempt(work, may_read_replica, deadline)
            answer = dispatched.answer
            if not self._is_retryable(work, answer):
                return dispatched
            remaining = deadline - self._clock.now()
            decisions.attempt_without_effect(
                work.statement_id,
                answer,
                dispatched.host,
                dispatched.server,
                remaining,
            )
            if not retry_policy.is_worth_retrying(
                answer,
                waited=work.timeout - remaining,
                remaining=remaining,
            ):
                return dispatched
            if not dispatched.server:
                await asyncio.sleep(backoff * random.uniform(0.5, 1))
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
            elif answer.code is answers.Code.BEHIND:
                may_read_replica = False

    async def run_in_transaction(
        self,
        host: identifiers.HostName,
        work: work_module.Work,
    ) -> answers.Answer:
        """Run a statement in the open transaction that a host holds.

        A lost link becomes an answer that says whether the transaction may
        have committed; nothing is retried.
        """
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
        """Roll back the open transaction that a host holds for a caller."""
        if host == self._hosts.own.host:
            release_here(pin_id)
        else:
            await self._peers.release(host, pin_id)

    def _is_retryable(
        self,
        work: work_module.Work,
        answer: answers.Answer,
    ) -> bool:
        if answer.is_ok or not answer.has_no_effect:
            return False
        if work.is_read_only:
            return True
        return answer.code is not answers.Code.ABORTED or not answer.was_sent

    async def _attempt(
        self,
        work: work_module.Work,
        may_read_replica: bool,
        deadline: float,
    ) -> Dispatched:
        replica = self._choose_replica(work) if may_read_replica else None
        host = self._choose_host(work, replica)
        server = replica.server if replica else connection.ServerId('')
        if host is None or self._hosts.is_suspected(host):
            return Dispatched(
                answer=answers.refusal(
                    answers.Code.OVERLOADED,
                    f'the owner ({host}) does not answer',
                    retry_after_ms=NO_OWNER_RETRY_AFTER_MS,
                ),
                host=host or self._hosts.own.host,
            )
        bounded_work = dataclasses.replace(
            work,
            server=server,
            timeout=deadline - self._clock.now(),
        )
        answer = await self._run_once(host, bounded_work)
        if replica and not answer.is_ok and answer.has_no_effect:
            self._start_cooldown(replica, answer)
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
            return await self._local.execute(work, LOCAL_LINK_ID)
        return await self._peers.execute(host, work)

    def _choose_host(
        self,
        work: work_module.Work,
        replica: connection.BackendServer | None,
    ) -> identifiers.HostName | None:
        if replica is None:
            claim = self._keeper.known.get(ownership_task(work.service))
            return claim.host if claim else None
        return self._hosts.best(replica.server, replica.zone).host

    def _choose_replica(
        self,
        work: work_module.Work,
    ) -> connection.BackendServer | None:
        """Choose a random replica, preferably in this host's zone.

        Returns None when no replica is available, or when only the primary
        is in this host's zone.
        """
        now = self._clock.now()
        available = [
            server
            for server in self._servers.of_service(work.service)
            if server.role is connection.Role.REPLICA
            and self._servers.takes_work(server)
            and self._cooldown_until.get(server.server, 0) <= now
        ]
        own_zone = self._hosts.own.zone
        in_own_zone = [
            server for server in available if server.zone == own_zone
        ]
        if in_own_zone:
            return random.choice(in_own_zone)
        is_primary_in_own_zone = (
            self._servers.primary_zone(work.service) == own_zone
        )
        if is_primary_in_own_zone or not available:
            return None
        return random.choice(available)

    def _start_cooldown(
        self,
        replica: connection.BackendServer,
        answer: answers.Answer,
    ) -> None:
        if answer.code is answers.Code.OVERLOADED and not answer.was_sent:
            return
        until = self._clock.now() + REPLICA_COOLDOWN_SECONDS
        self._cooldown_until[replica.server] = until
