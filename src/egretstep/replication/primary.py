"""Ownership of a service: which server is its primary, and when that changes.

One host owns a service at a time, under a lease. Only the owner sends
statements to the primary and requests promotions. Before it requests one, it
ends what the former primary still runs for it.
"""

import asyncio

import logbook

from egretstep import clock, identifiers
from egretstep.backends import answers, connection
from egretstep.membership import claims, leases
from egretstep.pooling import broker as broker_module
from egretstep.pooling import brokers
from egretstep.pooling import work as work_module
from egretstep.replication import (
    candidates,
    claim_record,
    failover,
    primary_statements,
    successor_choice,
)
from egretstep.settings import deployment

CHECK_INTERVAL_SECONDS = 0.1
MAX_DRAIN_SECONDS = 1.5
MAX_SILENCE_SECONDS = 0.4
STOP_POLL_INTERVAL_SECONDS = 0.02
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
        self._statements = primary_statements.PrimaryStatements(
            lease=self,
            broker_table=broker_table,
            expected_seconds=failover_coordinator.expected_seconds,
            time_source=time_source,
        )
        self._record = claim_record.ClaimRecord(
            service=service,
            claim=claim,
            keeper=keeper,
            holders=failover_coordinator.holders,
            acknowledged=lambda: self._statements.acknowledged,
        )
        self._is_redirecting = False
        self._is_replacing = False
        self._is_stopping = False
        self._postponed_until = 0.0

    @property
    def epoch(self) -> int:
        """Return the epoch of the lease."""
        return self._claim.epoch

    @property
    def primary(self) -> connection.BackendServer | None:
        """Return the primary, or None while it is not known."""
        return self._statements.primary

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
        position = self._statements.acknowledged
        if position is None or not self.holds_lease:
            return None
        return self.epoch, position

    async def run(self) -> None:
        """Find the primary and check it at an interval until cancelled."""
        while True:
            if self.holds_lease and not self._is_stopping:
                await self._check_primary()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def execute(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
    ) -> answers.Answer:
        """Run a statement at the primary and return the final answer.

        See `PrimaryStatements.execute`.
        """
        return await self._statements.execute(work, link)

    async def stop(self, *, longest_wait: float) -> None:
        """Wait for running work, then roll back; nothing runs afterwards.

        A promotion that was ordered is waited for too. If its outcome is not
        known in time, the next owner finds it in the claim.
        """
        self._is_stopping = True
        deadline = self._clock.now() + longest_wait
        while self._is_replacing and self._clock.now() < deadline:
            await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)
        remaining = max(0.0, deadline - self._clock.now())
        await self._statements.drain(longest_wait=remaining, may_read=False)
        self._statements.end()

    def redirect_waiting(self) -> None:
        """Redirect waiting statements, even if there is no next owner yet."""
        self._is_redirecting = True

    async def _check_primary(self) -> None:
        primary = self.primary
        if primary is None:
            await self._find_primary()
            return
        await self._record.update_log_holders()
        current = self._failover.registered(primary)
        if current is not None:
            self._statements.refresh(current)
        reason = self._failover.planned_replacement_reason(primary)
        if reason is not None and self._clock.now() >= self._postponed_until:
            await self._replace(reason, is_planned=True)
            return
        if await self._is_superseded(current or primary):
            await self._leave_primary()
            return
        broker = self._brokers.get(current or primary)
        is_silent = broker.activity.silent_seconds > MAX_SILENCE_SECONDS
        if broker.activity.failures or is_silent:
            await self._diagnose_failures(broker)

    async def _is_superseded(self, primary: connection.BackendServer) -> bool:
        """Return whether the primary leads no longer, for whatever reason.

        The primary is then looked for anew, before it takes more writes.
        """
        term = self._statements.term
        is_superseded = await self._failover.is_superseded(primary, term)
        if not is_superseded and not self._statements.was_refused:
            return False
        _logger.warning(
            'service {}: {} does not lead after term {} any more (refused a '
            'statement: {})',
            self._service,
            primary.server,
            term,
            self._statements.was_refused,
        )
        return True

    async def _diagnose_failures(self, broker: broker_module.Broker) -> None:
        """Replace the primary if it is down or demoted, not if it is slow."""
        started = self._clock.now()
        liveness = await self._failover.probe.check_liveness(broker.server)
        if not liveness.is_alive and broker.activity.alive_at > started:
            _logger.info(
                'service {}: primary {} reports no status, but answers '
                'statements: it is slow',
                self._service,
                broker.server.server,
            )
            return
        if not liveness.is_alive:
            await self._replace('it does not answer', is_planned=False)
            return
        broker.activity.record_alive()
        status = liveness.status
        if status is not None and status.role is not connection.Role.PRIMARY:
            _logger.warning(
                'service {}: {} reports {} and is left',
                self._service,
                broker.server.server,
                status,
            )
            await self._leave_primary()

    async def _leave_primary(self) -> None:
        """Use the primary no longer; the next check looks for another."""
        await self._statements.drain(longest_wait=0, may_read=False)
        self._statements.end()

    async def _find_primary(self) -> None:
        """Find the current primary and serve it, or promote another."""
        candidate = await self._failover.find_primary(
            self._service, self._record.current
        )
        if candidate is None:
            await self._replace('no server is primary', is_planned=False)
            return
        self._start_serving(candidate)

    def _remaining_lease(self) -> float:
        if not self.holds_lease:
            return 0
        return self._keeper.remaining_lease(self._claim.task)

    def _start_serving(self, candidate: candidates.Candidate) -> None:
        self._record.save_primary(candidate)
        # One that must get no work leads only until others have its log.
        is_open = not self._failover.is_drain_overdue(candidate.server)
        self._statements.start(candidate, is_open=is_open)
        _logger.info(
            'service {}: serving primary {} at position {} (epoch {}, takes '
            'statements: {})',
            self._service,
            candidate.server.server,
            candidate.status.received,
            self.epoch,
            is_open,
        )

    async def _replace(self, reason: str, *, is_planned: bool) -> None:
        self._is_replacing = True
        try:
            await self._change_primary(reason, is_planned=is_planned)
        except BaseException:
            # What has become of the change is looked for anew.
            self._statements.end()
            raise
        finally:
            self._is_replacing = False

    async def _change_primary(self, reason: str, *, is_planned: bool) -> None:
        former = self.primary
        started = self._clock.now()
        change = self._describe_change(former, is_planned=is_planned)
        _logger.info(
            'service {}: replacing primary {}: {}',
            self._service,
            former.server if former else 'nobody',
            reason,
        )
        if not await self._failover.choice.has_successor(change):
            self._postpone('no server that takes work has caught up')
            return
        self._failover.start_timer()
        await self._statements.drain(
            longest_wait=MAX_DRAIN_SECONDS if is_planned else 0,
            may_read=change.may_postpone,
        )
        if change.may_postpone:
            self._statements.stop_writes()
        else:
            self._statements.end()
        try:
            candidate = await self._failover.replace(
                self._describe_change(former, is_planned=is_planned),
                save=self._record.save,
                remaining_lease=self._remaining_lease,
            )
        except successor_choice.ChangePostponedError as error:
            self._postpone(str(error))
            return
        self._statements.end()
        if former is not None:
            self._brokers.get(former).close()
        if candidate is None:
            return
        self._start_serving(candidate)
        elapsed = self._clock.now() - started
        _logger.info('service {}: replaced in {:.2f} s', self._service, elapsed)

    def _postpone(self, reason: str) -> None:
        """Let the primary go on until the change is tried again."""
        self._postponed_until = self._clock.now() + POSTPONEMENT_SECONDS
        self._statements.resume()
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
    ) -> successor_choice.Change:
        can_go_on = (
            former is not None
            and is_planned
            and self._failover.registered(former) is not None
            and not self._failover.is_drain_overdue(former)
        )
        return successor_choice.Change(
            service=self._service,
            former=former,
            record=self._record.current,
            epoch=self.epoch,
            acknowledged=self._statements.acknowledged,
            may_postpone=can_go_on,
        )
