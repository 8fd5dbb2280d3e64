"""What the statements of this host tell of a server's speed and failures."""

import asyncio
import contextlib
import typing

import logbook

from egretstep import clock, identifiers
from egretstep.backends import answers, connection, server_load
from egretstep.observability import metrics
from egretstep.pooling import (
    concurrency_meter,
    concurrency_times,
    fair_queue,
    server_capacity,
    server_health,
    service_times,
)
from egretstep.pooling import work as work_module

# An opening takes 12 ms, and up to about half a second at a full server.
SILENT_OPENING_SECONDS = 0.5
_FULL_CODES = frozenset((
    answers.Code.OVERLOADED,
    answers.Code.TOO_MANY_CONNECTIONS,
))
_logger = logbook.Logger('server_performance')


class ServerPerformance:
    """Adapts the capacity of a queue to its server and describes its load.

    `health` holds the outcomes of the recent statements.
    """

    def __init__(
        self,
        *,
        server: connection.BackendServer,
        queue: fair_queue.FairQueue,
        time_source: clock.Clock,
    ) -> None:
        self._server = server
        self._queue = queue
        self._clock = time_source
        self._meter = concurrency_meter.ConcurrencyMeter(
            time_source=time_source
        )
        self._estimator = server_capacity.CapacityEstimator(
            slots=server.slots, time_source=time_source
        )
        self._service = concurrency_times.Mean(
            value=service_times.INITIAL_SERVICE_ESTIMATE_SECONDS
        )
        self.health = server_health.ServerHealth(time_source=time_source)

    @property
    def load(self) -> server_load.ServerLoad:
        """Return the present load of the server."""
        queue_load = self._queue.load_now()
        return server_load.ServerLoad(
            server=self._server.server,
            capacity=self._estimator.limit,
            running=max(queue_load.running, self._meter.count),
            waiting=queue_load.waiting,
            service_seconds=self._service.value,
            failure_share=self.health.failure_share,
            waits=queue_load.waits,
        )

    @contextlib.contextmanager
    def in_slot(self) -> typing.Generator[None, None, None]:
        """Measure the block as the time of a statement in a slot."""
        started = self._clock.now()
        try:
            yield
        finally:
            ended = self._clock.now()
            self._service.add(
                value=ended - started,
                concurrency=self._meter.count,
                now=ended,
            )

    @contextlib.contextmanager
    def at_server(self) -> typing.Generator[None, None, None]:
        """Count the block as work of the server, without a sample of it."""
        with self._meter.running():
            yield

    @contextlib.contextmanager
    def running(
        self,
    ) -> typing.Generator[concurrency_meter.Run, None, None]:
        """Count the block as a statement and measure its run."""
        with self._meter.running() as run:
            yield run

    def record_answer(
        self,
        work: work_module.Work,
        answer: answers.Answer,
        run: concurrency_meter.Run,
    ) -> None:
        """Record the server's answer to a statement and its run."""
        self.record_outcome(answer.code)
        if answer.is_ok:
            self._adopt(self._estimator.record(kind=_kind_of(work), run=run))

    def record_outcome(self, code: answers.Code) -> None:
        """Record the code of the server's answer to a statement."""
        self.health.record_answer(code)
        if code is answers.Code.OVERLOADED:
            self.record_busy()

    def record_busy(self) -> None:
        """Record that the server rejected work because it is full."""
        self._adopt(self._estimator.record_busy())

    def _adopt(self, change: server_capacity.Change | None) -> None:
        """Set the queue's capacity to a changed limit."""
        if change is None:
            return
        self._queue.set_capacity(change.limit)
        metrics.server_capacity.set(
            {'server': self._server.server}, change.limit
        )
        metrics.capacity_changes.inc(
            self._server.server, change.reason.name.lower()
        )
        _logger.info(
            'server {}: {} concurrent statements instead of {}: {} '
            '({} statements in {:.2f} s took {:.2f} times as long)',
            self._server.server,
            change.limit,
            change.before,
            change.reason.value,
            change.samples,
            change.seconds,
            change.slowdown,
        )


class MeteredOpener:
    """Opens connections and counts them as work of the server meanwhile.

    A refused or failed connection counts as a failure, a full server does not.
    Nor does an opening that is given up early.
    """

    def __init__(
        self,
        *,
        opener: connection.Opener,
        performance: ServerPerformance,
        time_source: clock.Clock,
    ) -> None:
        self._clock = time_source
        self._opener = opener
        self._performance = performance

    async def open(
        self,
        server: connection.BackendServer,
        workspace: identifiers.WorkspaceName,
    ) -> connection.ServerConnection:
        """Open a connection; raises what the opener does."""
        started = self._clock.now()
        try:
            with self._performance.at_server():
                return await self._opener.open(server, workspace)
        except connection.RefusedConnectionError as error:
            if error.code is answers.Code.OVERLOADED:
                self._performance.record_busy()
            if error.code not in _FULL_CODES:
                self._performance.health.record(has_failed=True)
            raise
        except connection.ConnectionBrokenError:
            self._performance.health.record(has_failed=True)
            raise
        except asyncio.CancelledError:
            # Statements often have less time left than the opener waits. A
            # server that is silent must not look healthy for that reason.
            if self._clock.now() - started >= SILENT_OPENING_SECONDS:
                self._performance.health.record(has_failed=True)
            raise


def _kind_of(work: work_module.Work) -> concurrency_times.Kind:
    """Return what statements of similar cost have in common."""
    prepared = work.command.prepared
    shape = None if prepared is None else prepared.shape
    place = (work.priority, work.opens, work.is_pinned)
    return (place, work.command.action, work.command.is_write, shape)
