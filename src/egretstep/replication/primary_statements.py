"""Runs the statements of a service at its primary.

An answer of the primary is passed on only while the owner's lease holds and
the server is still used as the primary. A statement that has not reached the
former primary waits for the next one.
"""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import clock, identifiers
from egretstep.backends import answers, commands, connection
from egretstep.pooling import brokers, failure_answers, gate
from egretstep.pooling import work as work_module
from egretstep.replication import candidates
from egretstep.replication import leadership as leadership_module

LEASE_POLL_INTERVAL_SECONDS = 0.02
RETRY_INTERVAL_SECONDS = 0.02
MAX_DISCOVERY_SECONDS = 0.5
_logger = logbook.Logger('primary')
_Phase = leadership_module.Phase
_USES = {_Phase.READ_ONLY: 'plain reads only', _Phase.ENDED: 'nothing'}


class Lease(typing.Protocol):
    """The lease of an owner on its service."""

    @property
    def holds_lease(self) -> bool:
        """Return whether the lease holds right now."""

    @property
    def is_over(self) -> bool:
        """Return whether this host gave up the service or lost it."""


class PrimaryStatements:
    """Runs statements at the primary, and holds them while it is replaced.

    `expected_seconds` estimates how long the replacement still takes.
    """

    def __init__(
        self,
        *,
        lease: Lease,
        broker_table: brokers.BrokerTable,
        expected_seconds: typing.Callable[[], float],
        time_source: clock.Clock,
    ) -> None:
        self._lease = lease
        self._brokers = broker_table
        self._expected_seconds = expected_seconds
        self._clock = time_source
        self._gate = gate.WriteGate(
            pinned=self._pinned_count,
            time_source=time_source,
            is_replaced=lambda: lease.is_over,
            is_closed=True,
        )
        self._leadership: leadership_module.Leadership | None = None
        self._is_changing = False
        self._change_count = 0
        self._reads_while_changing = False
        self._acknowledged: identifiers.LogPosition | None = None

    @property
    def primary(self) -> connection.BackendServer | None:
        """Return the server that is used as primary, None without one."""
        return self._leadership.server if self._leadership else None

    @property
    def was_refused(self) -> bool:
        """Return whether the primary said that it is not the primary."""
        return self._leadership is not None and self._leadership.was_refused

    @property
    def term(self) -> identifiers.Term:
        """Return the term that the primary leads."""
        return (
            self._leadership.term if self._leadership else identifiers.NO_TERM
        )

    @property
    def acknowledged(self) -> identifiers.LogPosition | None:
        """Return a position that covers every acknowledged commit."""
        return self._acknowledged

    def start(
        self,
        candidate: candidates.Candidate,
        *,
        is_open: bool,
    ) -> None:
        """Use a server that leads; unless `is_open`, statements still wait."""
        self._leadership = leadership_module.Leadership(
            server=candidate.server, term=candidate.status.term
        )
        self._acknowledged = candidate.status.received
        self._reads_while_changing = False
        if is_open:
            self._is_changing = False
            self._gate.open()

    def refresh(self, server: connection.BackendServer) -> None:
        """Use the current registration of the primary."""
        if self._leadership is not None:
            self._leadership.server = server

    async def drain(self, *, longest_wait: float, may_read: bool) -> None:
        """Hold new statements back and wait for the running ones.

        With `may_read`, plain reads still run until the leadership ends.
        """
        self._is_changing = True
        self._reads_while_changing = may_read
        await self._gate.close(longest_wait=longest_wait)

    def stop_writes(self) -> None:
        """Let the primary run nothing but plain reads from now on.

        What it still runs is ended; a write that was sent has an unknown
        outcome. To be called before another server may lead.
        """
        self._interrupt(_Phase.READ_ONLY)

    def end(self) -> None:
        """Stop to use the primary, also for reads.

        To be called before another server takes writes.
        """
        self._reads_while_changing = False
        self._interrupt(_Phase.ENDED)
        self._leadership = None

    def resume(self) -> None:
        """Use the same primary again, as no other server was promoted."""
        if self._leadership is not None:
            self._leadership.phase = _Phase.SERVING
        self._reads_while_changing = False
        self._is_changing = False
        self._gate.open()

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
        while True:
            change_count = self._change_count
            if work.is_pinned or self._runs_while_changing(work):
                answer = await self._execute_now(work, link, deadline)
            else:
                answer = await self._execute_through_gate(work, link, deadline)
            has_changed = change_count != self._change_count
            if not has_changed or not _may_try_again(work, answer):
                return answer
            if self._lease.is_over or self._clock.now() > deadline:
                return answer
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _execute_through_gate(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
        deadline: float,
    ) -> answers.Answer:
        gate_deadline = deadline
        if self._is_changing:
            refusal = self._refusal_if_too_long(deadline)
            if refusal is not None:
                return refusal
        elif self._leadership is None:
            discovery_deadline = self._clock.now() + MAX_DISCOVERY_SECONDS
            gate_deadline = min(deadline, discovery_deadline)
        try:
            async with self._gate.entered(deadline=gate_deadline):
                return await self._execute_now(work, link, deadline)
        except TimeoutError:
            return answers.refusal(
                answers.Code.OVERLOADED,
                failure_answers.PRIMARY_REPLACED,
                retry_after_ms=failure_answers.RETRY_AFTER_MS,
            )
        except gate.OwnerReplacedError:
            return failure_answers.moved()

    def _runs_while_changing(self, work: work_module.Work) -> bool:
        """Return whether a statement runs during a planned replacement.

        Plain reads do: until the next primary takes writes, the old one has
        all of them.
        """
        return self._reads_while_changing and leadership_module.is_plain_read(
            work
        )

    def _pinned_count(self) -> int:
        if self._leadership is None:
            return 0
        return self._brokers.get(self._leadership.server).pinned_count

    def _refusal_if_too_long(self, deadline: float) -> answers.Answer | None:
        remaining_seconds = self._expected_seconds()
        if remaining_seconds <= deadline - self._clock.now():
            return None
        return answers.refusal(
            answers.Code.OVERLOADED,
            failure_answers.PRIMARY_REPLACED,
            retry_after_ms=clock.to_milliseconds(remaining_seconds),
        )

    async def _execute_now(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
        deadline: float,
    ) -> answers.Answer:
        leadership = self._leadership
        if leadership is None or not await self._wait_for_lease(deadline):
            return failure_answers.moved()
        if not leadership.permits(work):
            return failure_answers.interrupted(
                work,
                has_written=False,
                was_sent=False,
                reason=failure_answers.PRIMARY_REPLACED,
            )
        remaining_seconds = max(0.0, deadline - self._clock.now())
        limited_work = dataclasses.replace(work, timeout=remaining_seconds)
        broker = self._brokers.get(leadership.server)
        answer = await broker.execute(limited_work, link)
        if answer.code is answers.Code.NOT_PRIMARY:
            leadership.was_refused = True
        if not answer.was_sent:
            return answer
        return await self._check_sent(work, answer, leadership, deadline)

    async def _check_sent(
        self,
        work: work_module.Work,
        answer: answers.Answer,
        leadership: leadership_module.Leadership,
        deadline: float,
    ) -> answers.Answer:
        """Return the answer, or an error if it may be a former primary's."""
        if not await self._wait_for_lease(deadline):
            return _withheld(work, 'the lease ended before the answer')
        if answer.is_ok and not leadership.permits(work):
            return _withheld(work, 'the primary was replaced before the answer')
        is_commit = work.command.action is commands.Action.COMMIT
        if answer.is_ok and (work.command.is_write or is_commit):
            self._acknowledge(answer.position)
        return answer

    async def _wait_for_lease(self, deadline: float) -> bool:
        while not self._lease.holds_lease:
            if self._lease.is_over or self._clock.now() > deadline:
                return False
            await asyncio.sleep(LEASE_POLL_INTERVAL_SECONDS)
        return True

    def _acknowledge(self, position: identifiers.LogPosition | None) -> None:
        if position is None:
            return
        if self._acknowledged is None or position > self._acknowledged:
            self._acknowledged = position

    def _interrupt(self, phase: leadership_module.Phase) -> None:
        """Enter a phase and end the statements that it does not permit."""
        leadership = self._leadership
        if leadership is None:
            return
        leadership.phase = phase
        self._change_count += 1
        broker = self._brokers.get(leadership.server)
        ended_count = broker.interrupt(
            lambda work: not leadership.permits(work),
            failure_answers.PRIMARY_REPLACED,
        )
        _logger.info(
            'service {}: {} (term {}) is now used as primary for {}: {} '
            'statements there were ended',
            leadership.server.service,
            leadership.server.server,
            leadership.term,
            _USES[phase],
            ended_count,
        )


def _may_try_again(work: work_module.Work, answer: answers.Answer) -> bool:
    """Return whether a statement has not run at the former primary.

    Or it has only read there.
    """
    if answer.code is not answers.Code.ABORTED or work.is_pinned:
        return False
    return work.is_read_only or not answer.was_sent


def _withheld(work: work_module.Work, reason: str) -> answers.Answer:
    """Return the answer for a statement whose result can't be relied on."""
    if work.is_read_only:
        return dataclasses.replace(
            answers.refusal(answers.Code.ABORTED, reason),
            was_sent=True,
        )
    return failure_answers.outcome_unknown(reason)
