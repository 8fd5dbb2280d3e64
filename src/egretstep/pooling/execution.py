"""Runs requests on the servers of a database that this host owns.

Before an answer is returned, the owner checks that it still holds the lease
of its term. An owner that was paused or partitioned therefore acknowledges no
write and returns no read that could be stale.
"""

import asyncio
import typing

from egretstep import clock, errors, identifiers
from egretstep.backends import mysql as database
from egretstep.observability import metrics
from egretstep.peers import messages
from egretstep.pooling import (
    connections,
    gate,
    idempotency,
    jobs,
    outcomes,
    pins,
    read_planner,
    replies,
    running,
    server_pools,
)
from egretstep.replication import group

RETRY_INTERVAL_SECONDS = 0.02
LEASE_POLL_INTERVAL_SECONDS = 0.01
_READ_ONLY_KINDS = frozenset((identifiers.StatementKind.READ,))


Attempt = typing.Callable[
    [jobs.Job, group.Tenure], typing.Awaitable[messages.Answer]
]


class Executor:
    """Runs the requests of one database that this host owns."""

    def __init__(
        self,
        *,
        database_group: group.DatabaseGroup,
        pools: server_pools.ServerPools,
        reads: read_planner.ReadPlanner,
        time_source: clock.Clock,
    ) -> None:
        self._group = database_group
        self._pools = pools
        self._reads = reads
        self._clock = time_source
        self.pins = pins.PinTable()
        self._running = running.RunningStatements(time_source=time_source)
        self.gate = gate.WriteGate(
            pinned=lambda: len(self.pins), time_source=time_source
        )

    async def run(self, job: jobs.Job) -> messages.Answer:
        """Run a request and return its answer.

        Attempts that certainly had no effect are repeated until the deadline.
        Raises `errors.RefusedError`; the outcome in its refusal tells whether
        the statement may have run.
        """
        kind = job.request.kind
        pin = self.pins.get(job.pin_key)
        if pin is not None and not job.request.expect_pin:
            # The entry did not get the answer that opened the transaction.
            await self.pins.drop(job.pin_key)
            pin = None
        if pin is not None:
            return await self._run_pinned(job, pin)
        if job.request.expect_pin:
            raise errors.RefusedError(
                refusal=outcomes.transaction_lost('its owner changed'),
            )
        if kind is identifiers.StatementKind.READ:
            return await self._run_with_retries(job, self._attempt_read)
        if kind is identifiers.StatementKind.WRITE:
            return await self._run_through_gate(job, self._attempt_write)
        if kind in {
            identifiers.StatementKind.BEGIN,
            identifiers.StatementKind.SESSION,
        }:
            return await self._run_through_gate(job, self._attempt_on_new_pin)
        return messages.Answer(
            request_id=job.request.request_id, outcome=identifiers.Outcome.DONE
        )

    async def _run_through_gate(
        self, job: jobs.Job, attempt: Attempt
    ) -> messages.Answer:
        try:
            async with self.gate.entered(deadline=job.deadline):
                return await self._run_with_retries(job, attempt)
        except TimeoutError as error:
            raise errors.RefusedError(
                refusal=outcomes.unavailable('its primary is being moved'),
            ) from error

    async def _run_with_retries(
        self, job: jobs.Job, attempt: Attempt
    ) -> messages.Answer:
        reason = 'no primary'
        while self._clock.now() < job.deadline:
            tenure = self._group.tenure
            if tenure is None:
                raise errors.RefusedError(
                    refusal=outcomes.not_owner(self._group.database),
                )
            try:
                return await attempt(job, tenure)
            except (
                errors.DatabaseServerError,
                outcomes.StaleTermError,
            ) as error:
                reason = str(error)
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        raise errors.RefusedError(refusal=outcomes.unavailable(reason))

    async def _attempt_read(
        self, job: jobs.Job, tenure: group.Tenure
    ) -> messages.Answer:
        server = await self._reads.choose(job, tenure)
        answer = await self._run_in_slot(job, tenure, server)
        role = 'primary' if answer.primary else 'replica'
        metrics.reads.inc(self._group.database, role)
        return answer

    async def _attempt_write(
        self, job: jobs.Job, tenure: group.Tenure
    ) -> messages.Answer:
        return await self._run_in_slot(job, tenure, tenure.primary)

    async def _run_in_slot(
        self,
        job: jobs.Job,
        tenure: group.Tenure,
        server: identifiers.ServerName,
    ) -> messages.Answer:
        pool = self._pools[server]
        async with pool.queue.slot(
            workspace=job.request.workspace,
            weight=job.effective.weight,
            deadline=job.deadline,
        ):
            connection = await self._acquire(job, pool.connections, tenure)
            try:
                result = await self._send_statement(job, connection)
            finally:
                await pool.connections.release(connection)
        await self._check_lease(job, tenure)
        return self._answer(job, result, tenure, server)

    async def _attempt_on_new_pin(
        self, job: jobs.Job, tenure: group.Tenure
    ) -> messages.Answer:
        server_connections = self._pools[tenure.primary].connections
        connection = await self._acquire(job, server_connections, tenure)
        pin = pins.Pin(
            connection=connection,
            source=server_connections,
            term=tenure.term,
            server=tenure.primary,
        )
        self.pins.add(job.pin_key, pin)
        return await self._run_pinned(job, pin)

    async def _run_pinned(
        self, job: jobs.Job, pin: pins.Pin
    ) -> messages.Answer:
        tenure = self._group.tenure
        if tenure is None or tenure.term != pin.term or pin.busy:
            await self.pins.drop(job.pin_key)
            raise errors.RefusedError(
                refusal=outcomes.transaction_lost('the primary changed'),
            )
        if job.request.kind is identifiers.StatementKind.SESSION:
            pin.tainted = True
        pin.busy = True
        try:
            return await self._run_on_pin(job, pin, tenure)
        except (errors.DatabaseServerError, outcomes.StaleTermError) as error:
            raise errors.RefusedError(
                refusal=outcomes.transaction_lost(str(error)),
            ) from error
        finally:
            pin.busy = False
            if not pin.is_needed:
                await self.pins.drop(job.pin_key)

    async def _run_on_pin(
        self, job: jobs.Job, pin: pins.Pin, tenure: group.Tenure
    ) -> messages.Answer:
        # Statements that hold the slots may wait for locks of this
        # transaction. If its statements queued for a slot, neither would end.
        with self._pools[pin.server].queue.charged(
            workspace=job.request.workspace, weight=job.effective.weight
        ):
            result = await self._send_statement(job, pin.connection)
        await self._check_lease(job, tenure)
        return self._answer(job, result, tenure, pin.server)

    async def _acquire(
        self,
        job: jobs.Job,
        server_connections: connections.ServerConnections,
        tenure: group.Tenure,
    ) -> database.ServerConnection:
        try:
            async with self._running.bounded(
                server_connections.server, job.deadline
            ):
                return await server_connections.acquire(tenure.term)
        except TimeoutError as error:
            if self._running.was_aborted(job.deadline):
                raise errors.NotSentError(
                    f'{server_connections.server} is down; start it',
                ) from error
            raise errors.RefusedError(
                refusal=outcomes.unavailable('all connections are in use'),
            ) from error

    async def _send_statement(
        self, job: jobs.Job, connection: database.ServerConnection
    ) -> database.StatementResult:
        """Send the statement to the server and return its result.

        Once it has been sent, a write may have taken effect. Raises
        `errors.DatabaseServerError` when it certainly had none, so that it
        may be repeated, and `errors.RefusedError` otherwise.
        """
        try:
            async with self._running.bounded(connection.server, job.deadline):
                return await self._run_statement(job, connection)
        except TimeoutError as error:
            raise self._timeout_error(job, connection) from error
        except errors.DatabaseServerError as error:
            was_not_sent = isinstance(error, errors.NotSentError)
            if was_not_sent or self._has_no_effect(job, connection):
                raise
            raise errors.RefusedError(
                refusal=outcomes.unknown(str(error)),
            ) from error
        except database.ServerRefusalError as error:
            outcomes.raise_for_failover(error)
            raise

    def abort(self, server: identifiers.ServerName) -> None:
        """Abort the statements that run on a server that is down.

        Reads are retried. Writes are answered at once with an unknown
        outcome.
        """
        self._running.abort(server)

    def _timeout_error(
        self, job: jobs.Job, connection: database.ServerConnection
    ) -> Exception:
        if not self._running.was_aborted(job.deadline):
            return errors.RefusedError(
                refusal=outcomes.deadline_exceeded(job.request.kind),
            )
        reason = f'{connection.server} is down'
        if self._has_no_effect(job, connection):
            return errors.DatabaseServerError(f'{reason}; start it')
        return errors.RefusedError(refusal=outcomes.unknown(reason))

    async def _run_statement(
        self, job: jobs.Job, connection: database.ServerConnection
    ) -> database.StatementResult:
        request = job.request
        is_keyed_write = (
            request.request_key
            and request.kind is identifiers.StatementKind.WRITE
            and not connection.in_transaction
        )
        if is_keyed_write:
            return await idempotency.run_once(
                connection=connection,
                workspace=request.workspace,
                request_key=request.request_key,
                sql=request.sql,
            )
        return await connection.run(request.sql)

    def _has_no_effect(
        self, job: jobs.Job, connection: database.ServerConnection
    ) -> bool:
        """Tell whether the statement has no effect if its connection breaks.

        The server rolls back a transaction that was not committed.
        """
        if job.request.kind in _READ_ONLY_KINDS:
            return True
        pin = self.pins.get(job.pin_key)
        is_on_pin = pin is not None and pin.connection is connection
        return is_on_pin and job.request.kind not in {
            identifiers.StatementKind.COMMIT,
            identifiers.StatementKind.SESSION,
        }

    async def _check_lease(self, job: jobs.Job, tenure: group.Tenure) -> None:
        while not tenure.lease.is_held():
            has_term_ended = self._group.tenure is not tenure
            if has_term_ended or self._clock.now() > job.deadline:
                raise self._lease_lost_error(job)
            await asyncio.sleep(LEASE_POLL_INTERVAL_SECONDS)

    def _lease_lost_error(self, job: jobs.Job) -> Exception:
        if job.request.kind in _READ_ONLY_KINDS and not job.request.expect_pin:
            return outcomes.StaleTermError('the term ended before the answer')
        return errors.RefusedError(
            refusal=outcomes.unknown('the term ended before the answer'),
        )

    def _answer(
        self,
        job: jobs.Job,
        result: database.StatementResult,
        tenure: group.Tenure,
        server: identifiers.ServerName,
    ) -> messages.Answer:
        answer = replies.make_answer(
            request_id=job.request.request_id,
            done=result,
            pin=self.pins.get(job.pin_key),
            server=server,
            is_primary=server == tenure.primary,
        )
        if answer.position > identifiers.LOG_START:
            self._group.floors.acknowledge(
                session_id=job.request.session_id, position=answer.position
            )
        return answer
