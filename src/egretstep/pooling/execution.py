"""Runs requests on the servers of an owned database.

Every answer that a server gave is checked against the lease of the term
before it goes out: an owner that was paused or cut off acknowledges nothing
and serves no read that could be old.
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
    reading,
    replies,
    running,
    servers,
)
from egretstep.replication import group

RETRY_PAUSE_SECONDS = 0.02
LEASE_POLL_SECONDS = 0.01
_NO_EFFECT = frozenset((identifiers.StatementKind.READ,))


Attempt = typing.Callable[
    [jobs.Job, group.Tenure],
    typing.Awaitable[messages.Answer],
]


class Executor:
    """Runs the requests of one owned database."""

    def __init__(
        self,
        *,
        database_group: group.DatabaseGroup,
        pools: servers.ServerPools,
        reads: reading.ReadPlanner,
        time_source: clock.Clock,
    ) -> None:
        self._group = database_group
        self._pools = pools
        self._reads = reads
        self._clock = time_source
        self.pins = pins.PinTable()
        self._running = running.RunningStatements(time_source=time_source)
        self.gate = gate.WriteGate(
            pinned=lambda: len(self.pins),
            time_source=time_source,
        )

    async def run(self, job: jobs.Job) -> messages.Answer:
        """Run a request and return its answer.

        Raises `errors.RefusedError`; its outcome tells what is known.
        """
        kind = job.request.kind
        pin = self.pins.get(job.pin_key)
        if pin is not None and not job.request.expect_pin:
            # The entry never learned of this transaction.
            await self.pins.drop(job.pin_key)
            pin = None
        if pin is not None:
            return await self._run_pinned(job, pin)
        if job.request.expect_pin:
            raise errors.RefusedError(
                refusal=outcomes.transaction_lost('its owner changed'),
            )
        if kind is identifiers.StatementKind.READ:
            return await self._repeat(job, self._read)
        if kind is identifiers.StatementKind.WRITE:
            return await self._pass_gate(job, self._write)
        if kind in {
            identifiers.StatementKind.BEGIN,
            identifiers.StatementKind.SESSION,
        }:
            return await self._pass_gate(job, self._pin)
        return messages.Answer(
            request_id=job.request.request_id,
            outcome=identifiers.Outcome.DONE,
        )

    async def _pass_gate(
        self,
        job: jobs.Job,
        attempt: Attempt,
    ) -> messages.Answer:
        try:
            async with self.gate.entered(deadline=job.deadline):
                return await self._repeat(job, attempt)
        except TimeoutError as error:
            raise errors.RefusedError(
                refusal=outcomes.unavailable('its primary is being moved'),
            ) from error

    async def _repeat(
        self,
        job: jobs.Job,
        attempt: Attempt,
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
            except (errors.DatabaseServerError, outcomes.StaleError) as error:
                reason = str(error)
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        raise errors.RefusedError(refusal=outcomes.unavailable(reason))

    async def _read(
        self, job: jobs.Job, tenure: group.Tenure
    ) -> messages.Answer:
        server = await self._reads.choose(job, tenure)
        answer = await self._run_in_slot(job, tenure, server)
        role = 'primary' if answer.primary else 'replica'
        metrics.reads.inc(self._group.database, role)
        return answer

    async def _write(
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
                done = await self._hand_over(job, connection)
            finally:
                await pool.connections.release(connection)
        await self._check_lease(job, tenure)
        return self._answer(job, done, tenure, server)

    async def _pin(
        self, job: jobs.Job, tenure: group.Tenure
    ) -> messages.Answer:
        source = self._pools[tenure.primary].connections
        connection = await self._acquire(job, source, tenure)
        pin = pins.Pin(
            connection=connection,
            source=source,
            term=tenure.term,
            server=tenure.primary,
        )
        self.pins.add(job.pin_key, pin)
        return await self._run_pinned(job, pin)

    async def _run_pinned(
        self,
        job: jobs.Job,
        pin: pins.Pin,
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
        except (errors.DatabaseServerError, outcomes.StaleError) as error:
            raise errors.RefusedError(
                refusal=outcomes.transaction_lost(str(error)),
            ) from error
        finally:
            pin.busy = False
            if not pin.is_needed:
                await self.pins.drop(job.pin_key)

    async def _run_on_pin(
        self,
        job: jobs.Job,
        pin: pins.Pin,
        tenure: group.Tenure,
    ) -> messages.Answer:
        # An open transaction holds locks that others wait for in the slots,
        # so that its statements must not wait behind them.
        with self._pools[pin.server].queue.charged(
            workspace=job.request.workspace,
            weight=job.effective.weight,
        ):
            done = await self._hand_over(job, pin.connection)
        await self._check_lease(job, tenure)
        return self._answer(job, done, tenure, pin.server)

    async def _acquire(
        self,
        job: jobs.Job,
        source: connections.ServerConnections,
        tenure: group.Tenure,
    ) -> database.ServerConnection:
        try:
            async with self._running.bounded(source.server, job.deadline):
                return await source.acquire(tenure.term)
        except TimeoutError as error:
            if self._running.is_early(job.deadline):
                raise errors.NotSentError(
                    f'{source.server} is down; start it',
                ) from error
            raise errors.RefusedError(
                refusal=outcomes.unavailable('all connections are in use'),
            ) from error

    async def _hand_over(
        self,
        job: jobs.Job,
        connection: database.ServerConnection,
    ) -> database.StatementResult:
        """Run the statement; from here on a write may have taken effect."""
        try:
            async with self._running.bounded(connection.server, job.deadline):
                return await self._run(job, connection)
        except TimeoutError as error:
            raise self._given_up(job, connection) from error
        except errors.DatabaseServerError as error:
            is_unsent = isinstance(error, errors.NotSentError)
            if is_unsent or self._has_no_effect(job, connection):
                raise
            raise errors.RefusedError(
                refusal=outcomes.unknown(str(error)),
            ) from error
        except database.ServerRefusalError as error:
            outcomes.raise_if_judged(error)
            raise

    def abort(self, server: identifiers.ServerName) -> None:
        """Give up on what runs on a server that was found down.

        Reads go to another server; of writes the caller hears at once that
        their outcome is unknown.
        """
        self._running.abort(server)

    def _given_up(
        self,
        job: jobs.Job,
        connection: database.ServerConnection,
    ) -> Exception:
        if not self._running.is_early(job.deadline):
            return errors.RefusedError(
                refusal=outcomes.deadline(job.request.kind),
            )
        reason = f'{connection.server} is down'
        if self._has_no_effect(job, connection):
            return errors.DatabaseServerError(f'{reason}; start it')
        return errors.RefusedError(refusal=outcomes.unknown(reason))

    async def _run(
        self,
        job: jobs.Job,
        connection: database.ServerConnection,
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
        self,
        job: jobs.Job,
        connection: database.ServerConnection,
    ) -> bool:
        """Tell whether a broken connection means that nothing happened.

        A transaction that was not committed is rolled back by the server.
        """
        if job.request.kind in _NO_EFFECT:
            return True
        pin = self.pins.get(job.pin_key)
        inside = pin is not None and pin.connection is connection
        return inside and job.request.kind not in {
            identifiers.StatementKind.COMMIT,
            identifiers.StatementKind.SESSION,
        }

    async def _check_lease(self, job: jobs.Job, tenure: group.Tenure) -> None:
        while not tenure.lease.is_held():
            is_over = self._group.tenure is not tenure
            if is_over or self._clock.now() > job.deadline:
                raise self._lease_lost(job)
            await asyncio.sleep(LEASE_POLL_SECONDS)

    def _lease_lost(self, job: jobs.Job) -> Exception:
        if job.request.kind in _NO_EFFECT and not job.request.expect_pin:
            return outcomes.StaleError('the term ended before the answer')
        return errors.RefusedError(
            refusal=outcomes.unknown('the term ended before the answer'),
        )

    def _answer(
        self,
        job: jobs.Job,
        done: database.StatementResult,
        tenure: group.Tenure,
        server: identifiers.ServerName,
    ) -> messages.Answer:
        answer = replies.make_answer(
            request_id=job.request.request_id,
            done=done,
            pin=self.pins.get(job.pin_key),
            server=server,
            is_primary=server == tenure.primary,
        )
        if answer.position > identifiers.LOG_START:
            self._group.floors.acknowledge(
                session_id=job.request.session_id,
                position=answer.position,
            )
        return answer
