"""Runs the statements of this host at one backend server.

A broker owns the connections and the fair queue, adapts the queue's capacity to
the server, and turns errors into answers that tell if a statement took effect.
"""

import asyncio
import dataclasses
import typing

from egretstep import clock, errors, identifiers
from egretstep.backends import answers, connection
from egretstep.pooling import (
    failure_answers,
    fair_queue,
    interruptions,
    pinned_transactions,
    server_activity,
    server_performance,
    statement_state,
    usage_hook,
    workspace_connections,
)
from egretstep.pooling import work as work_module

CONNECTION_REFUSED_RETRY_MS = 100
_SERVER_ERRORS = (
    TimeoutError,
    connection.ConnectionBrokenError,
    connection.RefusedConnectionError,
)


class Broker:
    """Runs statements at one server.

    `activity` tells whether the server answers; `used_at` is the monotonic
    time of the latest statement.
    """

    def __init__(
        self,
        *,
        server: connection.BackendServer,
        opener: connection.Opener,
        connection_limit: int,
        time_source: clock.Clock,
        usage: usage_hook.UsageRecorder = usage_hook.UNCOUNTED,
    ) -> None:
        self._clock = time_source
        self._usage = usage
        self._queue = fair_queue.FairQueue(
            slots=server.slots, time_source=time_source, name=server.server
        )
        self._performance = server_performance.ServerPerformance(
            server=server, queue=self._queue, time_source=time_source
        )
        self._pins = pinned_transactions.PinnedTransactions(
            server=server.server, time_source=time_source
        )
        self._interruptions = interruptions.Interruptions()
        self.server = server
        self.connections = workspace_connections.WorkspaceConnections(
            server=server,
            opener=server_performance.MeteredOpener(
                opener=opener,
                performance=self._performance,
                time_source=time_source,
            ),
            limit=connection_limit,
            time_source=time_source,
            make_room=self._pins.make_room,
        )
        self._pins.use(self.connections)
        self.activity = server_activity.ServerActivity(time_source=time_source)
        self.used_at = time_source.now()

    @property
    def pinned_count(self) -> int:
        """Return how many transactions are pinned to a connection."""
        return len(self._pins)

    @property
    def load(self) -> float:
        """Return the number of running and waiting statements per slot."""
        return self._queue.load

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing runs or waits and no transaction is open."""
        is_busy = self.activity.is_running or self.load
        return not is_busy and not self._pins

    async def execute(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
        floor: identifiers.LogPosition | None = None,
    ) -> answers.Answer:
        """Return the final answer, `OVERLOADED` if no slot is free in time.

        The statement runs, or opens its transaction, on a log reaching `floor`.
        The answer carries the load of the server.
        """
        attempt = statement_state.Attempt()
        self.used_at = self._clock.now()
        try:
            async with self._interruptions.guarded(work):
                answer = await self._execute(work, link, floor, attempt)
        except TimeoutError:
            answer = failure_answers.interrupted(
                work,
                has_written=attempt.has_written,
                was_sent=attempt.was_sent,
                reason=self._interruptions.reason,
            )
        return dataclasses.replace(answer, load=self._performance.load)

    def interrupt(
        self,
        is_concerned: typing.Callable[[work_module.Work], bool],
        reason: str,
    ) -> int:
        """End the statements for which a function is true; return how many.

        Also rolls back all open transactions.
        """
        ended_count = self._interruptions.interrupt(is_concerned, reason)
        self.release_all()
        return ended_count

    def release_pin(self, key: statement_state.PinKey) -> None:
        """Roll back the transaction of a caller that has disconnected."""
        self._pins.roll_back(key)

    def release_link(self, link: work_module.LinkId) -> None:
        """Roll back the transactions of a host whose link is closed."""
        self._pins.roll_back_link(link)

    def release_all(self) -> None:
        """Roll back every transaction."""
        self._pins.roll_back_all()

    def sweep(self, idle_limit_seconds: float) -> None:
        """Do the regular work that no statement causes.

        Rolls back transactions idle for more than a number of seconds, closes
        connections that were idle for long, and rejects waiting statements
        that can't be served in time.
        """
        self._pins.roll_back_idle(idle_limit_seconds)
        self.connections.close_expired()
        self._queue.sweep()

    def stop_reuse(self) -> None:
        """Close connections once idle; leave their limit to the owning host."""
        self.connections.stop_reuse()

    def close(self) -> None:
        """Roll back transactions; close connections, busy ones once idle."""
        self.release_all()
        self.connections.stop_reuse()

    async def _execute(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
        floor: identifiers.LogPosition | None,
        attempt: statement_state.Attempt,
    ) -> answers.Answer:
        started = self._clock.now()
        deadline = started + work.timeout
        key = (link, work.pin_id)
        if work.is_pinned:
            return await self._run_pinned(work, key, deadline, attempt)
        try:
            async with self._queue.slot(
                workspace=work.workspace,
                weight=1,
                deadline=deadline,
                priority=work.priority,
                target_at=None
                if work.target is None
                else started + work.target,
            ):
                queued_seconds = self._clock.now() - started
                with self._performance.in_slot():
                    answer = await self._run_unpinned(
                        work, key, deadline, floor, attempt
                    )
                return dataclasses.replace(
                    answer, queued_ms=clock.to_milliseconds(queued_seconds)
                )
        except errors.RefusedError as error:
            return answers.refusal(
                answers.Code.OVERLOADED,
                error.refusal.message,
                retry_after_ms=error.refusal.retry_after_ms,
            )

    async def _run_unpinned(
        self,
        work: work_module.Work,
        key: statement_state.PinKey,
        deadline: float,
        floor: identifiers.LogPosition | None,
        attempt: statement_state.Attempt,
    ) -> answers.Answer:
        try:
            async with asyncio.timeout(deadline - self._clock.now()):
                answer = await self._attempt(work, floor, attempt)
        except _SERVER_ERRORS as error:
            self._discard(attempt.session_connection)
            return self._answer_error(work, error, attempt)
        except BaseException:
            self._discard(attempt.session_connection)
            raise
        return self._pins.pin_or_release(
            typing.cast(
                statement_state.SessionConnection, attempt.session_connection
            ),
            key,
            work,
            answer,
        )

    async def _attempt(
        self,
        work: work_module.Work,
        floor: identifiers.LogPosition | None,
        attempt: statement_state.Attempt,
    ) -> answers.Answer:
        """Run a statement and record its progress in `attempt`."""
        conn = await self.connections.acquire_with_session(work)
        attempt.session_connection = conn
        if work.opens is not work_module.Opens.NOTHING:
            with self._performance.at_server():
                begin_answer = await conn.begin(work.opens, floor)
            if not begin_answer.is_ok:
                self._performance.record_outcome(begin_answer.code)
                return begin_answer
            floor = None
        attempt.was_sent = True
        return await self._run(work, conn, floor)

    def _answer_error(
        self,
        work: work_module.Work,
        exc: Exception,
        attempt: statement_state.Attempt,
    ) -> answers.Answer:
        """Return the answer for an exception; record the server failure."""
        if isinstance(exc, connection.RefusedConnectionError):
            if exc.code is answers.Code.WRONG_SERVER:
                # Another server has this address; the right one is silent.
                self.activity.record_failure()
            else:
                self.activity.record_refusal()
            return answers.refusal(
                exc.code, str(exc), retry_after_ms=CONNECTION_REFUSED_RETRY_MS
            )
        self.activity.record_failure()
        if attempt.session_connection is not None:
            # The opener has recorded a connection that could not be opened.
            self._performance.health.record(has_failed=True)
        if isinstance(exc, TimeoutError):
            return failure_answers.timed_out(work, was_sent=attempt.was_sent)
        return failure_answers.connection_broken(
            work, str(exc), was_sent=attempt.was_sent
        )

    async def _run(
        self,
        work: work_module.Work,
        conn: statement_state.SessionConnection,
        floor: identifiers.LogPosition | None,
    ) -> answers.Answer:
        started = self._clock.now()
        with self.activity.running(), self._performance.running() as run:
            running = conn.raw.run(work.statement_id, work.command, floor)
            answer = await self._usage.counted(work, running)
        self.activity.record_alive()
        self._performance.record_answer(work, answer, run)
        ran = clock.to_milliseconds(self._clock.now() - started)
        return dataclasses.replace(answer, ran_ms=ran)

    async def _run_pinned(
        self,
        work: work_module.Work,
        key: statement_state.PinKey,
        deadline: float,
        attempt: statement_state.Attempt,
    ) -> answers.Answer:
        pin = self._pins.get(key)
        if pin is None or pin.is_busy:
            return answers.refusal(
                answers.Code.ABORTED,
                'the transaction was rolled back; start it again',
            )
        pin.is_busy = True
        attempt.session_connection = pin.session_connection
        attempt.has_written = pin.has_written
        try:
            async with asyncio.timeout(deadline - self._clock.now()):
                answer = await self._attempt_pinned(work, pin, attempt)
        except _SERVER_ERRORS as error:
            self.activity.record_failure()
            self._performance.health.record(has_failed=True)
            self.release_pin(key)
            return failure_answers.transaction_lost(
                work,
                has_written=pin.has_written,
                was_sent=attempt.was_sent,
                reason=repr(error),
            )
        except BaseException:
            self.release_pin(key)
            raise
        finally:
            pin.is_busy = False
            pin.used_at = self._clock.now()
        pin.has_written = pin.has_written or work.command.is_write
        return self._pins.unpin_when_ended(key, pin, answer)

    async def _attempt_pinned(
        self,
        work: work_module.Work,
        pin: statement_state.Pin,
        attempt: statement_state.Attempt,
    ) -> answers.Answer:
        await pin.session_connection.apply_session(
            work.values, work.command.prepared
        )
        attempt.was_sent = True
        with (
            self._queue.charged(
                workspace=work.workspace, weight=1, priority=work.priority
            ),
            self._performance.in_slot(),
        ):
            return await self._run(work, pin.session_connection, None)

    def _discard(self, conn: statement_state.SessionConnection | None) -> None:
        if conn is not None:
            self.connections.discard(conn)
