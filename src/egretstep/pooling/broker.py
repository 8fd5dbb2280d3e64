"""All work of this host at one backend server.

The broker holds the connections and the fair queue for the server's slots,
keeps open transactions on their connection, and says of each answer what it
means for the caller.
"""

import asyncio
import contextlib
import dataclasses
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.backends import answers, connection
from egretstep.pooling import (
    fair_queue,
    progress,
    verdicts,
    workspace_connections,
)
from egretstep.pooling import work as work_module

REFUSED_RETRY_MS = 100
_logger = logbook.Logger('broker')

_SERVER_ERRORS = (
    TimeoutError,
    connection.ConnectionBrokenError,
    connection.RefusedConnectionError,
)


class Broker:
    """Runs statements at one server."""

    def __init__(
        self,
        *,
        server: connection.BackendServer,
        opener: connection.Opener,
        connection_limit: int,
        time_source: clock.Clock,
    ) -> None:
        self._clock = time_source
        self._queue = fair_queue.FairQueue(
            slots=server.slots,
            time_source=time_source,
        )
        self._pins: dict[progress.PinKey, progress.Pin] = {}
        self._running: dict[int, float] = {}
        self._sequence = 0
        self.server = server
        self.connections = workspace_connections.WorkspaceConnections(
            server=server,
            opener=opener,
            limit=connection_limit,
            time_source=time_source,
        )
        self.answered_at = time_source.now()
        self.failures = 0
        self.used_at = time_source.now()

    @property
    def pinned_count(self) -> int:
        """Return how many transactions are open."""
        return len(self._pins)

    @property
    def load(self) -> float:
        """Return running and waiting statements for each slot."""
        return self._queue.load

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing runs and no transaction is open."""
        return not self._running and not self._pins

    @property
    def silent_seconds(self) -> float:
        """Return for how long statements run without any answer."""
        if not self._running:
            return 0
        oldest = min(self._running.values())
        return self._clock.now() - max(oldest, self.answered_at)

    async def execute(
        self,
        work: work_module.Work,
        link: work_module.LinkId,
        floor: identifiers.LogPosition | None = None,
    ) -> answers.Answer:
        """Run a statement and return its final answer."""
        started = self._clock.now()
        self.used_at = started
        deadline = started + work.timeout
        key = (link, work.pin_id)
        if work.is_pinned:
            return await self._execute_pinned(work, key, deadline)
        try:
            async with self._queue.slot(
                workspace=work.workspace,
                weight=1,
                deadline=deadline,
            ):
                queued = self._clock.now() - started
                answer = await self._execute_free(work, key, deadline, floor)
                return dataclasses.replace(
                    answer,
                    queued_ms=clock.to_milliseconds(queued),
                )
        except errors.RefusedError as error:
            return answers.refusal(
                answers.Code.OVERLOADED,
                error.refusal.message,
                retry_after_ms=error.refusal.retry_after_ms,
            )

    def release_pin(self, key: progress.PinKey) -> None:
        """Roll back the transaction of a caller that has left."""
        pin = self._pins.pop(key, None)
        if pin is not None:
            self.connections.discard(pin.held)

    def release_link(self, link: work_module.LinkId) -> None:
        """Roll back the transactions of a host that is gone."""
        held = tuple(key for key in self._pins if key[0] == link)
        for key in held:
            self.release_pin(key)

    def release_all(self) -> None:
        """Roll back every transaction."""
        for key in list(self._pins):
            self.release_pin(key)

    def end_idle_transactions(self, longest: float) -> None:
        """Roll back transactions that have rested for too many seconds."""
        limit = self._clock.now() - longest
        for key, pin in list(self._pins.items()):
            if not pin.is_busy and pin.used_at < limit:
                self.release_pin(key)

    def retire(self) -> None:
        """Leave the server's connections to the host that owns it now."""
        self.connections.retire()

    def close(self) -> None:
        """End transactions and close the connections that rest."""
        self.release_all()
        self.connections.close_idle()

    async def _execute_free(
        self,
        work: work_module.Work,
        key: progress.PinKey,
        deadline: float,
        floor: identifiers.LogPosition | None,
    ) -> answers.Answer:
        attempt = progress.Attempt()
        try:
            async with asyncio.timeout(deadline - self._clock.now()):
                answer = await self._attempt(work, floor, attempt)
        except _SERVER_ERRORS as error:
            self._drop(attempt.held)
            return self._explain(work, error, was_sent=attempt.was_sent)
        except BaseException:
            self._drop(attempt.held)
            raise
        return self._settle(
            typing.cast(progress.Held, attempt.held), key, work, answer
        )

    async def _attempt(
        self,
        work: work_module.Work,
        floor: identifiers.LogPosition | None,
        attempt: progress.Attempt,
    ) -> answers.Answer:
        """Run a statement, noting how far it came."""
        held = await self._ready_connection(work)
        attempt.held = held
        if work.opens is not work_module.Opens.NOTHING:
            opened = await held.begin(work.opens, floor)
            if not opened.is_ok:
                return opened
            floor = None
        attempt.was_sent = True
        return await self._run(work, held, floor)

    def _explain(
        self,
        work: work_module.Work,
        error: Exception,
        *,
        was_sent: bool,
    ) -> answers.Answer:
        """Say what an error means, and remember what it tells of the server."""
        if isinstance(error, connection.RefusedConnectionError):
            # A server that refuses is alive.
            self.answered_at = self._clock.now()
            return answers.refusal(
                error.code,
                str(error),
                retry_after_ms=REFUSED_RETRY_MS,
            )
        self.failures += 1
        if isinstance(error, TimeoutError):
            return verdicts.timed_out(work, was_sent=was_sent)
        return verdicts.broken(work, str(error), was_sent=was_sent)

    async def _ready_connection(self, work: work_module.Work) -> progress.Held:
        """Return a connection that holds the session's state.

        One that rested may have broken meanwhile; then another is taken.
        """
        held = await self.connections.acquire(work.workspace)
        while not await self._adopt(held, work):
            held = await self.connections.acquire(work.workspace)
        return held

    async def _adopt(self, held: progress.Held, work: work_module.Work) -> bool:
        """Give a connection the session's state; a new one must take it."""
        is_new = held.used_at == 0
        try:
            await held.adopt(work.values, work.command.prepared)
        except BaseException as error:
            self.connections.discard(held)
            is_unsent = isinstance(error, workspace_connections.UnsentError)
            if is_new or not is_unsent:
                raise
            return False
        return True

    async def _run(
        self,
        work: work_module.Work,
        held: progress.Held,
        floor: identifiers.LogPosition | None,
    ) -> answers.Answer:
        started = self._clock.now()
        with self._tracked():
            answer = await held.raw.run(
                work.statement_id,
                work.command,
                floor,
            )
        self.answered_at = self._clock.now()
        self.failures = 0
        ran = clock.to_milliseconds(self.answered_at - started)
        return dataclasses.replace(answer, ran_ms=ran)

    @contextlib.contextmanager
    def _tracked(self) -> typing.Generator[None, None, None]:
        self._sequence += 1
        number = self._sequence
        self._running[number] = self._clock.now()
        try:
            yield
        finally:
            del self._running[number]

    def _settle(
        self,
        held: progress.Held,
        key: progress.PinKey,
        work: work_module.Work,
        answer: answers.Answer,
    ) -> answers.Answer:
        """Keep the connection for its transaction or give it back."""
        if answer.state is answers.TransactionState.OUTSIDE:
            self.connections.release(held)
            return answer
        self._pins[key] = progress.Pin(
            held=held,
            is_read_only=work.opens is work_module.Opens.READ_TRANSACTION,
            used_at=self._clock.now(),
            has_written=work.command.is_write,
        )
        return dataclasses.replace(answer, is_pinned=True)

    async def _execute_pinned(
        self,
        work: work_module.Work,
        key: progress.PinKey,
        deadline: float,
    ) -> answers.Answer:
        pin = self._pins.get(key)
        if pin is None or pin.is_busy:
            return answers.refusal(
                answers.Code.ABORTED,
                'the transaction was rolled back; start it again',
            )
        pin.is_busy = True
        attempt = progress.Attempt(held=pin.held)
        try:
            async with asyncio.timeout(deadline - self._clock.now()):
                answer = await self._attempt_pinned(work, pin, attempt)
        except _SERVER_ERRORS as error:
            self.failures += 1
            self.release_pin(key)
            return verdicts.pinned_failed(
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
        return self._settle_pinned(key, pin, answer)

    async def _attempt_pinned(
        self,
        work: work_module.Work,
        pin: progress.Pin,
        attempt: progress.Attempt,
    ) -> answers.Answer:
        await pin.held.adopt(work.values, work.command.prepared)
        attempt.was_sent = True
        with self._queue.charged(workspace=work.workspace, weight=1):
            return await self._run(work, pin.held, None)

    def _settle_pinned(
        self,
        key: progress.PinKey,
        pin: progress.Pin,
        answer: answers.Answer,
    ) -> answers.Answer:
        if key not in self._pins:
            # Released while the statement ran; the connection is closed.
            return answer
        if answer.state is answers.TransactionState.OUTSIDE:
            self._pins.pop(key)
            self.connections.release(pin.held)
            return answer
        return dataclasses.replace(answer, is_pinned=True)

    def _drop(self, held: progress.Held | None) -> None:
        if held is not None:
            self.connections.discard(held)
