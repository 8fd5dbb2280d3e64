"""Divides the slots of one server fairly between workspaces.

The queue uses start-time fair queueing: each workspace has a virtual time
that grows by the server time it used, divided by its weight. A free slot goes
to the waiting workspace with the smallest virtual time. The cost of a
statement is measured when it ends; until then the workspace's average is
charged.

A waiting statement is refused as soon as the rate of the queue shows that it
can't get a slot before its deadline, so that its caller has time to retry.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import typing

from egretstep import clock, errors, identifiers
from egretstep.backends import server_load
from egretstep.pooling import queue_forecast, queueing

INITIAL_SERVICE_ESTIMATE_SECONDS = 0.002
NEWEST_SAMPLE_SHARE = 0.2
MIN_SERVICE_SECONDS = 0.0001
REVIEW_INTERVAL_SECONDS = 0.05
# A new statement is refused unless its forecast wait, times this factor, ends
# before its deadline. Refusing it on arrival is better than refusing it late.
NEW_WAITER_SAFETY_FACTOR = 1.2
# A workspace that sent a statement within this time is expected to send more.
ACTIVE_FLOW_SECONDS = 1.0
EXPECTED_ARRIVALS_PER_FLOW = 2


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Waiter:
    """A statement that waits for a slot.

    `deadline` is a monotonic time. `slot_granted` is resolved when the
    statement gets a slot and fails when the statement is refused.
    """

    slot_granted: asyncio.Future[None]
    deadline: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _ForecastEntry:
    """A waiting or expected statement in the forecast order of service.

    `waiter` is None for an expected statement. `position` counts from one.
    """

    flow: '_Flow'
    waiter: _Waiter | None
    virtual_start: float
    position: int = 0


@dataclasses.dataclass(slots=True)
class _Flow:
    """Waiting statements and virtual time of one workspace."""

    weight: float = 1
    virtual_finish: float = 0
    average_service_seconds: float = INITIAL_SERVICE_ESTIMATE_SECONDS
    latest_arrival_at: float = float('-inf')
    waiters: collections.deque[_Waiter] = dataclasses.field(
        default_factory=collections.deque,
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueueLoad:
    """Running and waiting statements, and the expected waits in seconds.

    `waits` holds the wait of a new statement for each priority level.
    """

    running: int
    waiting: int
    waits: tuple[float, ...]


class FairQueue:
    """Grants a fixed number of slots to statements of workspaces.

    The baseline policy `FIRST_COME` grants them in the order of arrival and
    does not use the queue forecast to refuse statements.
    """

    def __init__(
        self,
        *,
        slots: int,
        time_source: clock.Clock,
        policy: queueing.QueuePolicy = queueing.QueuePolicy.FAIR,
    ) -> None:
        self._free_slots = slots
        self._slot_count = slots
        self._clock = time_source
        self._is_first_come = policy is queueing.QueuePolicy.FIRST_COME
        self._virtual_time = 0.0
        self._flows: dict[identifiers.WorkspaceName, _Flow] = {}
        self._waiting_count = 0
        self._forecast = queue_forecast.QueueForecast(time_source=time_source)
        self._reviewed_at = time_source.now()
        self._arrival_order: collections.deque[_Flow] = collections.deque()

    @property
    def load(self) -> float:
        """Return the number of running and waiting statements per slot."""
        return (
            self._slot_count - self._free_slots + self._waiting_count
        ) / self._slot_count

    @property
    def waiting(self) -> int:
        """Return how many statements wait for a slot."""
        return self._waiting_count

    def set_capacity(self, capacity: float) -> None:
        """Change how many statements may run at once, at least one."""
        slots = max(1, int(capacity))
        self._free_slots += slots - self._slot_count
        self._slot_count = slots
        self._dispatch()

    def load_now(self) -> QueueLoad:
        """Return the present load of the queue."""
        position = self._waiting_count + 1
        wait = self._forecast.seconds_until(position=position)
        return QueueLoad(
            running=self._slot_count - self._free_slots,
            waiting=self._waiting_count,
            waits=(wait,) * server_load.PRIORITY_LEVEL_COUNT,
        )

    def expected_wait(
        self, *, workspace: identifiers.WorkspaceName, weight: float
    ) -> float:
        """Return the estimated wait of a new statement, in seconds."""
        if self._free_slots > 0 and not self._waiting_count:
            return 0
        flow = self._flows.get(workspace)
        own_waiting_count = len(flow.waiters) if flow else 0
        service_seconds = (
            flow.average_service_seconds
            if flow
            else INITIAL_SERVICE_ESTIMATE_SECONDS
        )
        total_weight = weight + sum(
            other.weight
            for name, other in self._flows.items()
            if other.waiters and name != workspace
        )
        slot_share = self._slot_count * weight / total_weight
        return (own_waiting_count + 1) * service_seconds / slot_share

    @contextlib.asynccontextmanager
    async def slot(
        self,
        *,
        workspace: identifiers.WorkspaceName,
        weight: float,
        deadline: float,
        priority: int = 0,
        target_at: float | None = None,
    ) -> typing.AsyncGenerator[None, None]:
        """Hold a slot while the block runs.

        `deadline` is a monotonic time, and so is `target_at`, at which the
        target latency of the operation ends. Priority 0 is the highest. Raises `errors.RefusedError` as soon
        as the statement is not expected to get a slot before the deadline,
        and at the latest at the deadline.
        """
        flow = self._get_flow(workspace, weight)
        flow.latest_arrival_at = self._clock.now()
        await self._acquire_slot(flow, workspace, deadline)
        try:
            with self.charged(workspace=workspace, weight=weight):
                yield
        finally:
            self._free_slots += 1
            self._dispatch()

    @contextlib.contextmanager
    def charged(
        self, *, workspace: identifiers.WorkspaceName, weight: float
    ) -> typing.Generator[None, None, None]:
        """Charge the block's run time to a workspace; takes no slot."""
        flow = self._get_flow(workspace, weight)
        estimated_seconds = flow.average_service_seconds
        self._charge(flow, estimated_seconds)
        started = self._clock.now()
        try:
            yield
        finally:
            served_seconds = max(
                self._clock.now() - started, MIN_SERVICE_SECONDS
            )
            self._correct_charge(
                flow,
                estimated_seconds=estimated_seconds,
                served_seconds=served_seconds,
            )

    def _get_flow(
        self, workspace: identifiers.WorkspaceName, weight: float
    ) -> _Flow:
        flow = self._flows.get(workspace)
        if flow is None:
            flow = _Flow()
            self._flows[workspace] = flow
        flow.weight = weight
        return flow

    async def _acquire_slot(
        self, flow: _Flow, workspace: identifiers.WorkspaceName, deadline: float
    ) -> None:
        if self._free_slots > 0 and not self._waiting_count:
            self._free_slots -= 1
            return
        remaining_seconds = deadline - self._clock.now()
        expected_seconds = self.expected_wait(
            workspace=workspace, weight=flow.weight
        )
        if expected_seconds > remaining_seconds:
            raise _overload_error(expected_seconds)
        waiter = _Waiter(
            slot_granted=asyncio.get_running_loop().create_future(),
            deadline=deadline,
        )
        flow.waiters.append(waiter)
        if self._is_first_come:
            self._arrival_order.append(flow)
        self._waiting_count += 1
        self._forecast.record_waiting(waiting=self._waiting_count)
        self._refuse_late_waiters(waiter)
        try:
            async with asyncio.timeout(remaining_seconds):
                await waiter.slot_granted
        except TimeoutError as error:
            self._remove_waiter(flow, waiter)
            raise _overload_error(expected_seconds) from error
        except asyncio.CancelledError:
            self._remove_waiter(flow, waiter)
            raise

    def _refuse_late_waiters(self, new_waiter: _Waiter | None = None) -> None:
        """Refuse the waiters that would get a slot after their deadline.

        Without a new waiter, this runs at most every
        `REVIEW_INTERVAL_SECONDS`. The forecast wait of a new waiter is
        multiplied by `NEW_WAITER_SAFETY_FACTOR`.
        """
        now = self._clock.now()
        is_due = (
            new_waiter or now - self._reviewed_at >= REVIEW_INTERVAL_SECONDS
        )
        if self._is_first_come or not is_due:
            return
        self._reviewed_at = now
        for entry in self._waiters_in_order(now):
            waiter = typing.cast(_Waiter, entry.waiter)
            wait_seconds = self._forecast.seconds_until(position=entry.position)
            if waiter is new_waiter:
                wait_seconds *= NEW_WAITER_SAFETY_FACTOR
            if (
                now + wait_seconds > waiter.deadline
                and not waiter.slot_granted.done()
            ):
                entry.flow.waiters.remove(waiter)
                self._waiting_count -= 1
                waiter.slot_granted.set_exception(_overload_error(wait_seconds))
        self._forecast.record_waiting(waiting=self._waiting_count)

    def _waiters_in_order(self, now: float) -> list[_ForecastEntry]:
        """Return the waiters with their positions in the order of service.

        The positions also count the statements that recently active
        workspaces are expected to send.
        """
        entries = [
            entry
            for flow in self._flows.values()
            if flow.waiters
            or now - flow.latest_arrival_at < ACTIVE_FLOW_SECONDS
            for entry in self._forecast_entries(flow)
        ]
        entries.sort(key=lambda entry: entry.virtual_start)
        for position, entry in enumerate(entries, start=1):
            entry.position = position
        return [entry for entry in entries if entry.waiter]

    def _forecast_entries(self, flow: _Flow) -> list[_ForecastEntry]:
        """Return the waiting and expected statements of one workspace."""
        first_start = self._virtual_start(flow)
        step = flow.average_service_seconds / flow.weight
        pairs = itertools.zip_longest(
            flow.waiters, range(EXPECTED_ARRIVALS_PER_FLOW)
        )
        return [
            _ForecastEntry(
                flow=flow,
                waiter=waiter,
                virtual_start=first_start + number * step,
            )
            for number, (waiter, _) in enumerate(pairs)
        ]

    def _remove_waiter(self, flow: _Flow, waiter: _Waiter) -> None:
        """Remove a waiter that gave up and free a slot granted meanwhile."""
        slot_granted = waiter.slot_granted
        if waiter in flow.waiters:
            flow.waiters.remove(waiter)
            if self._is_first_come:
                self._arrival_order.remove(flow)
            self._waiting_count -= 1
            self._forecast.record_waiting(waiting=self._waiting_count)
        elif (
            slot_granted.done()
            and not slot_granted.cancelled()
            and not slot_granted.exception()
        ):
            self._free_slots += 1
            self._dispatch()

    def _dispatch(self) -> None:
        while self._free_slots > 0 and self._waiting_count:
            flow = self._next_flow()
            slot_granted = flow.waiters.popleft().slot_granted
            self._waiting_count -= 1
            if not slot_granted.done():
                self._free_slots -= 1
                self._forecast.record_slot_granted()
                slot_granted.set_result(None)
        self._forecast.record_waiting(waiting=self._waiting_count)
        self._refuse_late_waiters()

    def _next_flow(self) -> _Flow:
        if self._is_first_come:
            return self._arrival_order.popleft()
        return min(
            (each for each in self._flows.values() if each.waiters),
            key=self._virtual_start,
        )

    def _virtual_start(self, flow: _Flow) -> float:
        return max(flow.virtual_finish, self._virtual_time)

    def _charge(self, flow: _Flow, seconds: float) -> None:
        self._virtual_time = self._virtual_start(flow)
        flow.virtual_finish = self._virtual_time + seconds / flow.weight

    def _correct_charge(
        self, flow: _Flow, *, estimated_seconds: float, served_seconds: float
    ) -> None:
        flow.virtual_finish += (
            served_seconds - estimated_seconds
        ) / flow.weight
        sample = NEWEST_SAMPLE_SHARE * served_seconds
        flow.average_service_seconds = (
            sample + (1 - NEWEST_SAMPLE_SHARE) * flow.average_service_seconds
        )


def _overload_error(wait_seconds: float) -> errors.RefusedError:
    return errors.RefusedError(
        refusal=errors.Refusal(
            kind=errors.RefusalKind.OVERLOADED,
            message=(
                'the database can not serve this in time; '
                'send fewer statements at once or allow more time'
            ),
            retry_after_ms=max(1, clock.to_milliseconds(wait_seconds)),
        ),
    )
