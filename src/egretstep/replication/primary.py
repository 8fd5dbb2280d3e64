"""The owner of a service: who is primary, and what it acknowledged.

One host owns a service at a time, under a lease. It alone sends writes and
reads of the primary, and it alone orders promotions. Whatever the primary
answers goes out only while the lease holds.
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
from egretstep.replication import succession
from egretstep.settings import deployment

WATCH_SECONDS = 0.1
LEASE_POLL_SECONDS = 0.02
PLANNED_WAIT_SECONDS = 1.5
SILENCE_SECONDS = 0.4
LONGEST_ADOPTION_SECONDS = 0.5
_logger = logbook.Logger('primary')


class PrimaryOwner:
    """Serves the primary of one service for the whole fleet."""

    def __init__(
        self,
        *,
        service: deployment.ServiceName,
        claim: claims.Claim,
        keeper: leases.LeaseKeeper,
        broker_table: brokers.BrokerTable,
        successions: succession.Succession,
        time_source: clock.Clock,
    ) -> None:
        self._service = service
        self._claim = claim
        self._keeper = keeper
        self._brokers = broker_table
        self._succession = successions
        self._clock = time_source
        self._gate = gate.WriteGate(
            pinned=self._pinned_count,
            time_source=time_source,
            is_replaced=lambda: self.is_over,
            is_closed=True,
        )
        self._is_changing = False
        self._reads_go_on = False
        self._has_left = False
        self._primary: connection.BackendServer | None = None
        self._acknowledged: identifiers.LogPosition | None = None

    @property
    def epoch(self) -> int:
        """Return the epoch of the lease."""
        return self._claim.epoch

    @property
    def primary(self) -> connection.BackendServer | None:
        """Return the server that is primary, once it is known."""
        return self._primary

    @property
    def is_held(self) -> bool:
        """Tell whether the lease holds right now."""
        return self._keeper.is_held(self._claim.task, self._claim.epoch)

    @property
    def is_over(self) -> bool:
        """Tell whether the service has got another owner, or lost this one."""
        if self._has_left:
            return True
        claim = self._keeper.known.get(self._claim.task)
        return claim is None or claim.epoch != self._claim.epoch

    def acknowledged(self) -> tuple[int, identifiers.LogPosition] | None:
        """Return the epoch and a position with all acknowledged commits.

        None is returned when another owner may have acknowledged more.
        """
        if self._acknowledged is None or not self.is_held:
            return None
        return self.epoch, self._acknowledged

    async def run(self) -> None:
        """Find the primary and watch it until cancelled."""
        while True:
            if self.is_held:
                await self._look()
            await asyncio.sleep(WATCH_SECONDS)

    async def execute(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
    ) -> answers.Answer:
        """Run a statement at the primary."""
        deadline = self._clock.now() + work.timeout
        if work.is_pinned or self._goes_on(work):
            return await self._execute_at_primary(work, link, deadline)
        latest = deadline
        if self._is_changing:
            refused = self._refusal_if_too_long(work)
            if refused is not None:
                return refused
        elif self._primary is None:
            longest = self._clock.now() + LONGEST_ADOPTION_SECONDS
            latest = min(deadline, longest)
        try:
            async with self._gate.entered(deadline=latest):
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
        """Let running work end; nothing runs at the primary afterwards."""
        await self._gate.close(longest_wait=longest_wait)
        if self._primary is not None:
            self._brokers.get(self._primary).release_all()

    def leave(self) -> None:
        """Send on those who still wait, whether or not there is a successor."""
        self._has_left = True

    def _goes_on(self, work: work_module.Work) -> bool:
        """Tell whether a statement runs while the primary leaves on plan.

        Until the next primary takes writes, the leaving one has them all.
        """
        if not self._reads_go_on or not work.is_read_only:
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
        remaining = self._succession.expected_seconds()
        if remaining <= work.timeout:
            return None
        return answers.refusal(
            answers.Code.OVERLOADED,
            'the primary is being replaced',
            retry_after_ms=clock.to_milliseconds(remaining),
        )

    async def _execute_at_primary(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
        deadline: float,
    ) -> answers.Answer:
        primary = self._primary
        if primary is None or not await self._wait_held(deadline):
            return failure_answers.moved()
        remaining = max(0.0, deadline - self._clock.now())
        bounded = dataclasses.replace(work, timeout=remaining)
        answer = await self._brokers.get(primary).execute(bounded, link)
        return await self._checked(work, answer, deadline)

    async def _checked(
        self,
        work: work_module.Work,
        answer: answers.Answer,
        deadline: float,
    ) -> answers.Answer:
        """Let an answer out only while the lease holds."""
        if not answer.was_sent:
            return answer
        if not await self._wait_held(deadline):
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

    async def _wait_held(self, deadline: float) -> bool:
        while not self.is_held:
            if self.is_over or self._clock.now() > deadline:
                return False
            await asyncio.sleep(LEASE_POLL_SECONDS)
        return True

    def _acknowledge(self, position: identifiers.LogPosition | None) -> None:
        if position is None:
            return
        if self._acknowledged is None or position > self._acknowledged:
            self._acknowledged = position

    async def _look(self) -> None:
        if self._primary is None:
            await self._adopt()
            return
        current = self._succession.refreshed(self._primary)
        if current is not None:
            self._primary = current
        reason = self._succession.reason_to_leave(self._primary)
        if reason is not None:
            await self._change(reason, is_planned=True)
            return
        broker = self._brokers.get(self._primary)
        is_silent = broker.silent_seconds > SILENCE_SECONDS
        if broker.failures or is_silent:
            await self._examine(broker)

    async def _examine(self, broker: broker_module.Broker) -> None:
        """Tell a server that is gone from one that is slow."""
        primary = typing.cast(connection.BackendServer, self._primary)
        examined = await self._succession.examine(primary)
        if not examined.is_alive:
            await self._change('it does not answer', is_planned=False)
            return
        broker.failures = 0
        broker.answered_at = self._clock.now()
        status = examined.status
        if status is not None and status.role is not connection.Role.PRIMARY:
            await self._change('it is no longer primary', is_planned=False)

    async def _adopt(self) -> None:
        """Find out which server is primary."""
        found = await self._succession.find_primary(
            self._service,
            self._recorded(),
        )
        if found is None:
            await self._change('no server is primary', is_planned=False)
            return
        if self._succession.is_overdue(found.server):
            reason = 'it is to get no work any more'
            await self._change(reason, is_planned=False)
            return
        await self._record(found.server.server)
        self._serve(found)

    def _recorded(self) -> connection.ServerId:
        claim = self._keeper.known[self._claim.task]
        return connection.ServerId(claim.detail)

    async def _record(self, server: connection.ServerId) -> None:
        if server != self._recorded():
            await self._keeper.record(self._claim, server)

    def _serve(self, found: succession.Candidate) -> None:
        self._primary = found.server
        self._reads_go_on = False
        self._acknowledged = found.status.received
        self._is_changing = False
        self._gate.open()
        _logger.info(
            'service {}: {} is primary at {} (epoch {})',
            self._service,
            found.server.server,
            found.status.received,
            self.epoch,
        )

    async def _change(self, reason: str, *, is_planned: bool) -> None:
        former = self._primary
        started = self._clock.now()
        _logger.info(
            'service {}: replacing {}: {}',
            self._service,
            former.server if former else 'nobody',
            reason,
        )
        self._succession.note_start()
        self._is_changing = True
        self._reads_go_on = self._may_read_on(former, is_planned=is_planned)
        wait = PLANNED_WAIT_SECONDS if is_planned else 0
        await self._gate.close(longest_wait=wait)
        if former is not None:
            self._brokers.get(former).release_all()
        found = await self._replace(former, is_planned=is_planned)
        self._reads_go_on = False
        if former is not None:
            self._brokers.get(former).close()
        if found is None:
            self._primary = None
            return
        self._serve(found)
        took = self._clock.now() - started
        _logger.info('service {}: replaced in {:.2f} s', self._service, took)

    def _may_read_on(
        self,
        former: connection.BackendServer | None,
        *,
        is_planned: bool,
    ) -> bool:
        if former is None or not is_planned:
            return False
        if self._succession.refreshed(former) is None:
            return False
        return not self._succession.is_overdue(former)

    async def _replace(
        self,
        former: connection.BackendServer | None,
        *,
        is_planned: bool,
    ) -> succession.Candidate | None:
        try:
            return await self._succession.replace(
                self._service,
                former,
                epoch=self.epoch,
                known=self._acknowledged if is_planned else None,
                record=self._record,
                is_owner=lambda: self.is_held,
            )
        except errors.PlatformError as error:
            _logger.warning('service {}: {}', self._service, error)
            return None
