"""Sends each statement to the host that can run it, with safe retries.

A write goes to the host that owns the service. A read that accepts stale
data goes to the server that is expected to answer it first.
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
from egretstep.pooling import failure_answers, interruptions, local_host
from egretstep.pooling import work as work_module
from egretstep.routing import (
    budget,
    early_rejection,
    read_router,
    retry_policy,
    server_loads,
    statement_attempts,
)
from egretstep.settings import deployment

LOCAL_LINK_ID = work_module.LinkId(0)
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
    """Sends statements to service owners and to hosts near a replica.

    `takeover_delay` returns for how many seconds no lost owner is replaced.
    """

    def __init__(
        self,
        *,
        hosts: directory.Directory,
        servers: registry.ServerRegistry,
        keeper: leases.LeaseKeeper,
        peers: fleet_links.FleetLinks,
        local: local_host.LocalHost,
        takeover_delay: typing.Callable[[], float],
        time_source: clock.Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._hosts = hosts
        self._keeper = keeper
        self._peers = peers
        self._local = local
        self._takeover_delay = takeover_delay
        self._clock = time_source
        self._random = rng or random.Random()
        loads = server_loads.ServerLoads(time_source=time_source)
        self._router = read_router.ReadRouter(
            hosts=hosts,
            servers=servers,
            owner_of=self._owner_of,
            loads=loads,
            time_source=time_source,
            rng=self._random,
        )
        self._early_rejection = early_rejection.EarlyRejection(
            loads=loads, time_source=time_source, rng=self._random
        )
        self._budget = budget.HostRetryBudget(time_source=time_source)
        self._interruptions = interruptions.Interruptions()
        self._may_repeat = True

    async def dispatch(self, work: work_module.Work) -> Dispatched:
        """Run a statement outside a transaction, or one that opens one.

        An attempt that had no effect, and a plain read that failed, is
        repeated on another host or server where there is one, as long as
        `retry_policy` and the retry budget allow it.
        """
        try:
            async with self._interruptions.guarded(work):
                return await self._dispatch(work)
        except TimeoutError:
            return Dispatched(
                answer=self._interrupted(work), host=self._hosts.own.host
            )

    def end_repeats(self) -> None:
        """Make the answer to each attempt final, as this host is stopping."""
        self._may_repeat = False

    def interrupt(self, reason: str) -> None:
        """Answer all statements now, whatever their servers still do."""
        self._interruptions.interrupt(lambda _work: True, reason)

    def _interrupted(self, work: work_module.Work) -> answers.Answer:
        return failure_answers.interrupted(
            work,
            has_written=True,
            was_sent=True,
            reason=self._interruptions.reason,
        )

    async def _dispatch(self, work: work_module.Work) -> Dispatched:
        self._budget.deposit()
        attempts = statement_attempts.StatementAttempts(
            work=work,
            deadline=self._clock.now() + work.timeout,
            may_read_replica=work.max_staleness is not None,
        )
        target: read_router.Target | None = self._first_target(attempts)
        while target is not None:
            rejection = self._reject_early(attempts, target)
            if rejection is not None:
                return rejection
            dispatched = await self._attempt(attempts, target)
            target = await self._next_target(attempts, dispatched)
        return dataclasses.replace(
            dispatched, answer=attempts.final(dispatched.answer)
        )

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
            async with self._interruptions.guarded(work):
                answer = await self._run_at(host, work)
        except TimeoutError:
            return self._interrupted(work)
        except errors.LinkError as error:
            return failure_answers.transaction_lost(
                work, has_written=True, was_sent=False, reason=str(error)
            )
        except errors.LinkLostError as error:
            return failure_answers.transaction_lost(
                work, has_written=True, was_sent=True, reason=str(error)
            )
        self._router.record_load(answer)
        return answer

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

    def _first_target(
        self, attempts: statement_attempts.StatementAttempts
    ) -> read_router.Target:
        if attempts.may_read_replica:
            return self._router.first_target(attempts.work)
        return self._router.primary_target(attempts.work.service)

    async def _next_target(
        self,
        attempts: statement_attempts.StatementAttempts,
        dispatched: Dispatched,
    ) -> read_router.Target | None:
        """Return the target of a repeat, after the pause before it.

        None if the answer is final.
        """
        if not self._may_repeat:
            return None
        work = attempts.work
        answer = dispatched.answer
        remaining = attempts.deadline - self._clock.now()
        may_repeat = retry_policy.may_repeat(work, answer)
        if may_repeat:
            decisions.attempt_without_effect(
                work.statement_id,
                answer,
                dispatched.host,
                dispatched.server,
                remaining,
            )
        other = self._other_server(attempts, answer, remaining)
        if other is not None:
            is_paid = attempts.pay(other.server, answer, self._budget)
            return other if is_paid else None
        if not may_repeat or not retry_policy.is_worth_retrying(
            answer, waited=work.timeout - remaining, remaining=remaining
        ):
            return None
        pause = attempts.next_pause(answer, self._random)
        if pause >= remaining:
            return None
        if not attempts.pay(read_router.PRIMARY, answer, self._budget):
            return None
        await asyncio.sleep(pause)
        return self._router.primary_target(work.service)

    def _other_server(
        self,
        attempts: statement_attempts.StatementAttempts,
        answer: answers.Answer,
        remaining: float,
    ) -> read_router.Target | None:
        """Return another server that may serve a read at once, if any."""
        if not attempts.may_read_replica:
            return None
        work = attempts.work
        if not retry_policy.may_repeat_elsewhere(
            work, answer, remaining=remaining
        ):
            return None
        if answer.code is answers.Code.BEHIND:
            attempts.may_read_replica = False
            return self._router.primary_target(work.service)
        return self._router.next_target(work, attempts.tried)

    def _reject_early(
        self,
        attempts: statement_attempts.StatementAttempts,
        target: read_router.Target,
    ) -> Dispatched | None:
        """Return a refusal if the only server can't answer in time.

        The queue of this host itself needs no forecast by load data.
        """
        work = attempts.work
        is_own_queue = target.host == self._hosts.own.host
        if (
            work.max_staleness is not None
            or is_own_queue
            or not target.intended
        ):
            return None
        retry_after = self._early_rejection.retry_after(
            target.intended,
            priority=work.priority,
            remaining=attempts.deadline - self._clock.now(),
        )
        if retry_after is None:
            return None
        return Dispatched(
            answer=answers.refusal(
                answers.Code.OVERLOADED,
                f'the queue of server {target.intended} is too long',
                retry_after_ms=clock.to_milliseconds(retry_after),
            ),
            host=target.host or self._hosts.own.host,
        )

    async def _attempt(
        self,
        attempts: statement_attempts.StatementAttempts,
        target: read_router.Target,
    ) -> Dispatched:
        host = target.host
        attempts.tried.add(target.intended)
        if host is None or self._hosts.is_suspected(host):
            return Dispatched(
                answer=failure_answers.owner_lost(host, self._takeover_delay()),
                host=host or self._hosts.own.host,
            )
        bounded_work = attempts.remaining_work(target.server, self._clock.now())
        sent_id = self._router.record_sent(target)
        try:
            answer = await self._run_once(host, bounded_work, target)
        finally:
            self._router.record_answered(target, sent_id)
        return Dispatched(answer=answer, host=host, server=target.server)

    async def _run_once(
        self,
        host: identifiers.HostName,
        work: work_module.Work,
        target: read_router.Target,
    ) -> answers.Answer:
        try:
            answer = await self._run_at(host, work)
        except errors.LinkError as error:
            return answers.refusal(
                answers.Code.OVERLOADED,
                str(error),
                retry_after_ms=failure_answers.RETRY_AFTER_MS,
            )
        except errors.LinkLostError as error:
            self._router.record_lost(target)
            return failure_answers.connection_broken(
                work, str(error), was_sent=True
            )
        self._router.record_outcome(target, answer)
        return answer

    async def _run_at(
        self,
        host: identifiers.HostName,
        work: work_module.Work,
    ) -> answers.Answer:
        if host == self._hosts.own.host:
            return await self._local.execute(work, LOCAL_LINK_ID)
        return await self._peers.execute(host, work)

    def _owner_of(
        self,
        service: deployment.ServiceName,
    ) -> identifiers.HostName | None:
        claim = self._keeper.known.get(ownership_task(service))
        return claim.host if claim else None
