"""Divides the slots of one server fairly between statements of workspaces.

A policy decides the order of the waiting statements and which of them are
rejected (`slot_policy`, or `first_come` as the baseline). The queue counts the
slots, wakes the statements and measures their service time.
"""

import asyncio
import contextlib
import dataclasses
import typing

from egretstep import clock, errors, identifiers
from egretstep.backends import server_load
from egretstep.pooling import (
    admission_log,
    first_come,
    queueing,
    return_times,
    slot_count,
    slot_policy,
    slot_requests,
)

MIN_SERVICE_SECONDS = 0.0001
OVERLOAD_MESSAGE = (
    'the database can not serve this in time; '
    'send fewer statements at once or allow more time'
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
    """Grants a number of slots to statements of workspaces.

    The baseline policy `FIRST_COME` grants them in the order of arrival, uses
    neither priority nor target, and leaves open transactions out of account.
    Log lines have the queue's `name`.
    """

    def __init__(
        self,
        *,
        slots: int,
        time_source: clock.Clock,
        policy: queueing.QueuePolicy = queueing.QueuePolicy.FAIR,
        name: str = '',
    ) -> None:
        self._clock = time_source
        self._slots = slot_count.SlotCount(total=slots, time_source=time_source)
        self._is_first_come = policy is queueing.QueuePolicy.FIRST_COME
        self._policy = _new_policy(policy, time_source)
        self._return_times = return_times.ReturnTimes(time_source=time_source)
        self._log = admission_log.AdmissionLog(time_source=time_source)
        self._name = name
        self._grants: dict[slot_requests.SlotRequest, asyncio.Future[None]] = {}

    @property
    def load(self) -> float:
        """Return the number of running and waiting statements per slot."""
        return (self._slots.running + self.waiting) / self._slots.total

    @property
    def waiting(self) -> int:
        """Return how many statements wait for a slot."""
        return self._policy.waiting

    def set_capacity(self, capacity: float) -> None:
        """Change how many statements may run at once, at least one."""
        slots = max(1, int(capacity))
        if slots == self._slots.total:
            return
        self._slots.total = slots
        self._policy.forget_rates()
        self._dispatch()

    def sweep(self) -> None:
        """Review the waiting statements although none arrives or ends.

        Called regularly. Without it, the statements that wait for a silent
        server stay until their deadline if nothing else happens.
        """
        self._policy.forget_idle()
        self._review()

    def load_now(self) -> QueueLoad:
        """Return the present load of the queue."""
        return QueueLoad(
            running=self._slots.running,
            waiting=self.waiting,
            waits=self._waits(),
        )

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
        target latency of the operation ends. Priority 0 is the highest.
        Raises `errors.RefusedError` as soon as the statement is not expected
        to be answered before the deadline, and at the latest at the deadline.
        """
        request = slot_requests.SlotRequest(
            workspace=workspace,
            weight=weight,
            level=server_load.level_of(priority),
            deadline=deadline,
            target_at=target_at,
        )
        await self._acquire_slot(request)
        try:
            with self._measured(
                self._policy.charge(
                    workspace=workspace,
                    weight=weight,
                    level=request.level,
                    is_late=request.is_late,
                )
            ):
                yield
        finally:
            self._release_slot()

    @contextlib.contextmanager
    def charged(
        self,
        *,
        workspace: identifiers.WorkspaceName,
        weight: float,
        priority: int = 0,
    ) -> typing.Generator[None, None, None]:
        """Run a statement of an open transaction, which never waits.

        It may hold locks that statements in slots wait for. It occupies a
        slot, also if none is free, and its time is charged to the workspace.
        """
        charge = self._policy.charge(
            workspace=workspace,
            weight=weight,
            level=server_load.level_of(priority),
            has_waited=False,
        )
        occupied = 0 if self._is_first_come else 1
        self._slots.add_unqueued(occupied)
        try:
            with self._measured(charge):
                yield
        finally:
            self._slots.add_unqueued(-occupied)
            self._dispatch()

    @property
    def _has_room(self) -> bool:
        return self._slots.is_available and not self.waiting

    @contextlib.contextmanager
    def _measured(
        self, charge: slot_requests.Charge
    ) -> typing.Generator[None, None, None]:
        started = self._clock.now()
        try:
            yield
        finally:
            served_seconds = self._clock.now() - started
            charge.settle(max(served_seconds, MIN_SERVICE_SECONDS))

    async def _acquire_slot(self, request: slot_requests.SlotRequest) -> None:
        if self._has_room:
            self._slots.add_queued(1)
            return
        rejection = self._policy.admit(request, self._slots.for_queue)
        self._log.record_late(self._policy.late_counts)
        if rejection is not None:
            raise self._rejection_error(rejection)
        slot_granted = asyncio.get_running_loop().create_future()
        self._grants[request] = slot_granted
        self._review()
        try:
            async with asyncio.timeout(request.deadline - self._clock.now()):
                await slot_granted
        except TimeoutError as error:
            self._give_up(request, slot_granted)
            raise self._rejection_error(_deadline_rejection(request)) from error
        except asyncio.CancelledError:
            self._give_up(request, slot_granted)
            raise
        finally:
            self._grants.pop(request, None)

    def _release_slot(self) -> None:
        self._slots.add_queued(-1)
        self._dispatch()

    def _give_up(
        self,
        request: slot_requests.SlotRequest,
        slot_granted: asyncio.Future[None],
    ) -> None:
        """Remove a waiting statement, or free the slot it got meanwhile."""
        if self._policy.remove(request):
            return
        if (
            slot_granted.done()
            and not slot_granted.cancelled()
            and not slot_granted.exception()
        ):
            self._release_slot()

    def _dispatch(self) -> None:
        while self._slots.is_available and self.waiting:
            request = self._policy.take_next()
            slot_granted = self._grants[request]
            if not slot_granted.done():
                self._slots.add_queued(1)
                slot_granted.set_result(None)
        self._review()

    def _review(self) -> None:
        """Reject the waiting statements that can't be served in time."""
        for rejection in self._policy.review(self._slots.for_queue):
            slot_granted = self._grants[rejection.request]
            if not slot_granted.done():
                slot_granted.set_exception(self._rejection_error(rejection))
        self._log.record_late(self._policy.late_counts)

    def _waits(self) -> tuple[float, ...]:
        if self._has_room:
            return (0.0,) * server_load.PRIORITY_LEVEL_COUNT
        outlook = self._policy.outlook(self._slots.for_queue)
        return tuple(each.wait_seconds for each in outlook)

    def _retry_after(self, rejection: slot_requests.Rejection) -> float:
        if self._is_first_come:
            return rejection.wait_seconds
        request = rejection.request
        left_seconds = request.deadline - self._clock.now()
        return self._return_times.book(
            request.level,
            self._policy.outlook(self._slots.for_queue),
            earliest_seconds=rejection.wait_seconds - left_seconds,
        )

    def _rejection_error(
        self, rejection: slot_requests.Rejection
    ) -> errors.RefusedError:
        retry_after_seconds = self._retry_after(rejection)
        message = OVERLOAD_MESSAGE
        left_seconds = rejection.request.deadline - self._clock.now()
        if retry_after_seconds > left_seconds:
            message = f'{message}; there is room only after its time limit'
        self._log.record_rejection(
            rejection,
            retry_after_seconds=retry_after_seconds,
            queue=self._name,
            running=self._slots.running,
            slots=self._slots.total,
            waiting=self.waiting,
        )
        return errors.RefusedError(
            refusal=errors.Refusal(
                kind=errors.RefusalKind.OVERLOADED,
                message=message,
                retry_after_ms=max(
                    1, clock.to_milliseconds(retry_after_seconds)
                ),
            ),
        )


def _new_policy(
    policy: queueing.QueuePolicy, time_source: clock.Clock
) -> slot_requests.SlotPolicy:
    if policy is queueing.QueuePolicy.FIRST_COME:
        return first_come.FirstComePolicy(time_source=time_source)
    return slot_policy.FairPolicy(time_source=time_source)


def _deadline_rejection(
    request: slot_requests.SlotRequest,
) -> slot_requests.Rejection:
    return slot_requests.Rejection(
        request=request,
        wait_seconds=request.expected_seconds,
        reason=slot_requests.RejectionReason.DEADLINE,
    )
