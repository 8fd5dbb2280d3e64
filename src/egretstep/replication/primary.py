"""Ownership of a service: execution at its primary, and failover.

One host owns a service at a time, under a lease. Only the owner sends
statements to the primary and requests promotions. An answer of the primary
is sent to the caller only while the lease holds.
"""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.backends import answers, commands, connection
from egretstep.membership import claims, leases
from egretstep.pooling import broker as broker_module
from egretstep.pooling import brokers, failure_answers, gate
from egretstep.pooling import work as work_module
from egretstep.replication import candidates, failover
from egretstep.settings import deployment

CHECK_INTERVAL_SECONDS = 0.1
LEASE_POLL_INTERVAL_SECONDS = 0.02
MAX_DRAIN_SECONDS = 1.5
MAX_SILENCE_SECONDS = 0.4
MAX_DISCOVERY_SECONDS = 0.5
POSTPONEMENT_SECONDS = 0.5
_logger = logbook.Logger('primary')


class PrimaryOwner:
    """Runs statements at the primary of one service for the whole fleet."""

    def __init__(
        self,
        *,
        service: deployment.ServiceName,
        claim: claims.Claim,
        keeper: leases.LeaseKeeper,
        broker_table: brokers.BrokerTable,
        failover_coordinator: failover.FailoverCoordinator,
        time_source: clock.Clock,
    ) -> None:
        self._service = service
        self._claim = claim
        self._keeper = keeper
        self._brokers = broker_table
        self._failover = failover_coordinator
        self._clock = time_source
        self._gate = gate.WriteGate(
            pinned=self._pinned_count,
            time_source=time_source,
            is_replaced=lambda: self.is_over,
            is_closed=True,
        )
        self._is_replacing = False
        self._may_read_while_draining = False
        self._is_redirecting = False
        self._primary: connection.BackendServer | None = None
        self._acknowledged: identifiers.LogPosition | None = None
        self._postponed_until = 0.0

    @property
    def epoch(self) -> int:
        """Return the epoch of the lease."""
        return self._claim.epoch

    @property
    def primary(self) -> connection.BackendServer | None:
        """Return the primary, or None while it is not known."""
        return self._primary

    @property
    def holds_lease(self) -> bool:
        """Return whether the lease holds right now."""
        return self._keeper.is_held(self._claim.task, self._claim.epoch)

    @property
    def is_over(self) -> bool:
        """Return whether this host gave up the service or lost it."""
        if self._is_redirecting:
            return True
        claim = self._keeper.known.get(self._claim.task)
        return claim is None or claim.epoch != self._claim.epoch

    def acknowledged(self) -> tuple[int, identifiers.LogPosition] | None:
        """Return the lease's epoch and the last acknowledged log position.

        Returns None when no position is known, or when the lease does not
        hold and another owner may have acknowledged later commits.
        """
        if self._acknowledged is None or not self.holds_lease:
            return None
        return self.epoch, self._acknowledged

    async def run(self) -> None:
        """Find the primary and check it at an interval until cancelled."""
        while True:
            if self.holds_lease:
                await self._check_primary()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def execute(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
    ) -> answers.Answer:
        """Run a statement at the primary and return the final answer.

        The statement waits while the primary is replaced. It is refused at
        once if that is expected to take longer than the statement's timeout.
        """
        deadline = self._clock.now() + work.timeout
        if work.is_pinned or self._runs_while_draining(work):
            return await self._execute_at_primary(work, link, deadline)
        gate_deadline = deadline
        if self._is_replacing:
            refusal = self._refusal_if_too_long(work)
            if refusal is not None:
                return refusal
        elif self._primary is None:
            discovery_deadline = self._clock.now() + MAX_DISCOVERY_SECONDS
            gate_deadline = min(deadline, discovery_deadline)
        try:
            async with self._gate.entered(deadline=gate_deadline):
                return await self._execute_at_primary(work, link, deadline)
        except TimeoutError:
            return answers.refusal(
                answers.Code.OVERLOADED,
                'the primary is being replaced',
                retry_after_ms=failure_answers.RETRY_AFTER_MS,
            )
        except gate.OwnerReplacedError:
            return failure_answers.moved()

    async def stop(self, *, longest_wait: float) -> None:
        """Wait for running work, then roll back; nothing runs afterwards."""
        await self._gate.close(longest_wait=longest_wait)
        if self._primary is not None:
            self._brokers.get(self._primary).release_all()

    def redirect_waiting(self) -> None:
        """Redirect waiting statements, even if there is no next owner yet."""
        self._is_redirecting = True

    def _runs_while_draining(self, work: work_module.Work) -> bool:
        """Return whether a statement runs during a planned replacement.

        Plain reads do: until the next primary takes writes, the old one has
        all of them.
        """
        if not self._may_read_while_draining or not work.is_read_only:
            return False
        return work.opens is work_module.Opens.NOTHING

    def _pinned_count(self) -> int:
        if self._primary is None:
            return 0
        return self._brokers.get(self._primary).pinned_count

    def _refusal_if_too_long(
        self,
        work: work_module.Work,
    ) -> answers.Answer | None:
        remaining_seconds = self._failover.expected_seconds()
        if remaining_seconds <= work.timeout:
            return None
        return answers.refusal(
            answers.Code.OVERLOADED,
            'the primary is being replaced',
            retry_after_ms=clock.to_milliseconds(remaining_seconds),
        )

    async def _execute_at_primary(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
        deadline: float,
    ) -> answers.Answer:
        primary = self._primary
        if primary is None or not await self._wait_for_lease(deadline):
            return failure_answers.moved()
        remaining_seconds = max(0.0, deadline - self._clock.now())
        limited_work = dataclasses.replace(work, timeout=remaining_seconds)
        answer = await self._brokers.get(primary).execute(limited_work, link)
        return await self._check_lease(work, answer, deadline)

    async def _check_lease(
        self,
        work: work_module.Work,
        answer: answers.Answer,
        deadline: float,
    ) -> answers.Answer:
        """Return the answer, or an error if the lease ended before it."""
        if not answer.was_sent:
            return answer
        if not await self._wait_for_lease(deadline):
            reason = 'the lease ended before the answer'
            if work.is_read_only:
                return dataclasses.replace(
                    answers.refusal(answers.Code.ABORTED, reason),
                    was_sent=True,
                )
            return failure_answers.outcome_unknown(reason)
        is_commit = work.command.action is commands.Action.COMMIT
        if answer.is_ok and (work.command.is_write or is_commit):
            self._acknowledge(answer.position)
        return answer

    async def _wait_for_lease(self, deadline: float) -> bool:
        while not self.holds_lease:
            if self.is_over or self._clock.now() > deadline:
                return False
            await asyncio.sleep(LEASE_POLL_INTERVAL_SECONDS)
        return True

    def _acknowledge(self, position: identifiers.LogPosition | None) -> None:
        if position is None:
            return
        if self._acknowledged is None or position > self._acknowledged:
            self._acknowledged = position

    async def _check_primary(self) -> None:
        if self._primary is None:
            await self._find_primary()
            return
        current = self._failover.registered(self._primary)
        if current is not None:
            self._primary = current
        reason = self._failover.planned_replacement_reason(self._primary)
        if reason is not None and self._clock.now() >= self._postponed_until:
            await self._replace(reason, is_planned=True)
            return
        broker = self._brokers.get(self._primary)
        is_silent = broker.silent_seconds > MAX_SILENCE_SECONDS
        if broker.failures or is_silent:
            await self._diagnose_failures(broker)

    async def _diagnose_failures(self, broker: broker_module.Broker) -> None:
        """Replace the primary if it is down or demoted, not if it is slow."""
        primary = typing.cast(connection.BackendServer, self._primary)
        liveness = await self._failover.probe.check_liveness(primary)
        if not liveness.is_alive:
            await self._replace('it does not answer', is_planned=False)
            return
        broker.failures = 0
        broker.answered_at = self._clock.now()
        status = liveness.status
        if status is not None and status.role is not connection.Role.PRIMARY:
            await self._replace('it is no longer primary', is_planned=False)

    async def _find_primary(self) -> None:
        """Find the current primary and serve it, or promote another."""
        candidate = await self._failover.find_primary(
            self._service,
            self._recorded_primary(),
        )
        if candidate is None:
            await self._replace('no server is primary', is_planned=False)
            return
        if self._failover.is_drain_overdue(candidate.server):
            reason = 'it is to get no work any more'
            await self._replace(reason, is_planned=False)
            return
        await self._record_primary(candidate.server.server)
        self._start_serving(candidate)

    def _recorded_primary(self) -> connection.ServerId:
        claim = self._keeper.known[self._claim.task]
        return connection.ServerId(claim.detail)

    async def _record_primary(self, server: connection.ServerId) -> None:
        if server != self._recorded_primary():
            await self._keeper.record(self._claim, server)

    def _start_serving(self, candidate: candidates.Candidate) -> None:
        self._primary = candidate.server
        self._may_read_while_draining = False
        self._acknowledged = candidate.status.received
        if self._failover.is_drain_overdue(candidate.server):
            # It was promoted for its log only, which others now receive.
            return
        self._is_replacing = False
        self._gate.open()
        _logger.info(
            'service {}: serving primary {} at position {} (epoch {})',
            self._service,
            candidate.server.server,
            candidate.status.received,
            self.epoch,
        )

    async def _replace(self, reason: str, *, is_planned: bool) -> None:
        former = self._primary
        started = self._clock.now()
        change = self._describe_change(former, is_planned=is_planned)
        _logger.info(
            'service {}: replacing primary {}: {}',
            self._service,
            former.server if former else 'nobody',
            reason,
        )
        if not await self._failover.has_successor(change):
            self._postpone('no server that takes work has caught up')
            return
        self._failover.start_timer()
        self._is_replacing = True
        self._may_read_while_draining = change.may_postpone
        max_drain_seconds = MAX_DRAIN_SECONDS if is_planned else 0
        await self._gate.close(longest_wait=max_drain_seconds)
        if former is not None:
            self._brokers.get(former).release_all()
        try:
            candidate = await self._promote_successor(former, is_planned)
        except failover.ChangePostponedError as error:
            self._postpone(str(error))
            return
        self._may_read_while_draining = False
        if former is not None:
            self._brokers.get(former).close()
        if candidate is None:
            self._primary = None
            return
        self._start_serving(candidate)
        elapsed = self._clock.now() - started
        _logger.info('service {}: replaced in {:.2f} s', self._service, elapsed)

    def _postpone(self, reason: str) -> None:
        """Let the primary go on until the change is tried again."""
        self._postponed_until = self._clock.now() + POSTPONEMENT_SECONDS
        self._may_read_while_draining = False
        self._is_replacing = False
        self._gate.open()
        _logger.info(
            'service {}: the change of primary is postponed by {} s: {}',
            self._service,
            POSTPONEMENT_SECONDS,
            reason,
        )

    def _describe_change(
        self,
        former: connection.BackendServer | None,
        *,
        is_planned: bool,
    ) -> failover.Change:
        can_go_on = (
            former is not None
            and is_planned
            and self._failover.registered(former) is not None
            and not self._failover.is_drain_overdue(former)
        )
        return failover.Change(
            service=self._service,
            former=former,
            recorded=self._recorded_primary(),
            epoch=self.epoch,
            acknowledged=self._acknowledged,
            may_postpone=can_go_on,
        )

    async def _promote_successor(
        self,
        former: connection.BackendServer | None,
        is_planned: bool,
    ) -> candidates.Candidate | None:
        try:
            return await self._failover.replace(
                self._describe_change(former, is_planned=is_planned),
                record=self._record_primary,
                is_owner=lambda: self.holds_lease,
            )
        except errors.PlatformError as error:
            _logger.warning(
                'service {}: promotion failed: {}', self._service, error
            )
            return None
