"""Slots of one server, shared fairly between workspaces.

Start-time fair queueing: every workspace has a virtual time that grows with
the server time it used divided by its weight, and the waiting workspace
with the least goes next. What a statement costs is measured; until it ends,
the workspace's average stands in for it.

Who waits is refused as soon as the pace of the queue shows that its turn
comes too late, so that its caller has time left for another try.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import typing

from egretstep import clock, errors, identifiers
from egretstep.pooling import queue_forecast, queueing

FIRST_SERVICE_SECONDS = 0.002
AVERAGE_SHARE_OF_NEWEST = 0.2
MINIMUM_SERVICE_SECONDS = 0.0001
REVIEW_SECONDS = 0.05
# Who is refused late had better been refused when it came.
NEWEST_MARGIN = 1.2
# A workspace that sent as lately as this is likely to send again.
RETURN_SECONDS = 1.0
EXPECTED_AHEAD = 2


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Waiting:
    """A statement that waits for its turn until a monotonic time."""

    turn: asyncio.Future[None]
    deadline: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _Place:
    """Where a statement stands among all that wait, or are to come."""

    flow: '_Flow'
    waiting: _Waiting | None
    start: float
    position: int = 0


@dataclasses.dataclass(slots=True)
class _Flow:
    """Queue and account of one workspace."""

    weight: float = 1
    finish: float = 0
    service_seconds: float = FIRST_SERVICE_SECONDS
    arrived_at: float = float('-inf')
    waiting: collections.deque[_Waiting] = dataclasses.field(
        default_factory=collections.deque,
    )


class FairQueue:
    """Hands out a fixed number of slots."""

    def __init__(
        self,
        *,
        slots: int,
        time_source: clock.Clock,
        policy: queueing.QueuePolicy = queueing.QueuePolicy.FAIR,
    ) -> None:
        self._free = slots
        self._slots = slots
        self._clock = time_source
        self._is_first_come = policy is queueing.QueuePolicy.FIRST_COME
        self._virtual_time = 0.0
        self._flows: dict[identifiers.WorkspaceName, _Flow] = {}
        self._waiting = 0
        self._forecast = queue_forecast.QueueForecast(time_source=time_source)
        self._reviewed_at = time_source.now()
        self._arrival_order: collections.deque[_Flow] = collections.deque()

    @property
    def load(self) -> float:
        """Return running and waiting statements for each slot."""
        return (self._slots - self._free + self._waiting) / self._slots

    @property
    def waiting(self) -> int:
        """Return how many statements wait."""
        return self._waiting

    def expected_wait(
        self,
        *,
        workspace: identifiers.WorkspaceName,
        weight: float,
    ) -> float:
        """Return how many seconds a new statement is likely to wait."""
        if self._free > 0 and not self._waiting:
            return 0
        flow = self._flows.get(workspace)
        own_waiting = len(flow.waiting) if flow else 0
        service = flow.service_seconds if flow else FIRST_SERVICE_SECONDS
        total_weight = weight + sum(
            other.weight
            for name, other in self._flows.items()
            if other.waiting and name != workspace
        )
        share = self._slots * weight / total_weight
        return (own_waiting + 1) * service / share

    @contextlib.asynccontextmanager
    async def slot(
        self,
        *,
        workspace: identifiers.WorkspaceName,
        weight: float,
        deadline: float,
    ) -> typing.AsyncGenerator[None, None]:
        """Hold a slot for the block.

        Raises `errors.RefusedError` at once when the wait would pass the
        deadline, a monotonic time, and at the deadline when it did.
        """
        flow = self._flow(workspace, weight)
        flow.arrived_at = self._clock.now()
        await self._enter(flow, workspace, deadline)
        try:
            with self.charged(workspace=workspace, weight=weight):
                yield
        finally:
            self._free += 1
            self._dispatch()

    @contextlib.contextmanager
    def charged(
        self,
        *,
        workspace: identifiers.WorkspaceName,
        weight: float,
    ) -> typing.Generator[None, None, None]:
        """Charge the block to a workspace without waiting for a slot."""
        flow = self._flow(workspace, weight)
        estimate = flow.service_seconds
        self._charge(flow, estimate)
        started = self._clock.now()
        try:
            yield
        finally:
            served = max(
                self._clock.now() - started,
                MINIMUM_SERVICE_SECONDS,
            )
            self._settle(flow, estimate=estimate, served=served)

    def _flow(
        self,
        workspace: identifiers.WorkspaceName,
        weight: float,
    ) -> _Flow:
        flow = self._flows.get(workspace)
        if flow is None:
            flow = _Flow()
            self._flows[workspace] = flow
        flow.weight = weight
        return flow

    async def _enter(
        self,
        flow: _Flow,
        workspace: identifiers.WorkspaceName,
        deadline: float,
    ) -> None:
        if self._free > 0 and not self._waiting:
            self._free -= 1
            return
        remaining = deadline - self._clock.now()
        expected = self.expected_wait(workspace=workspace, weight=flow.weight)
        if expected > remaining:
            raise _refused(expected)
        waiting = _Waiting(
            turn=asyncio.get_running_loop().create_future(),
            deadline=deadline,
        )
        flow.waiting.append(waiting)
        if self._is_first_come:
            self._arrival_order.append(flow)
        self._waiting += 1
        self._forecast.note_waiting(waiting=self._waiting)
        self._review(waiting)
        try:
            async with asyncio.timeout(remaining):
                await waiting.turn
        except TimeoutError as error:
            self._forget(flow, waiting)
            raise _refused(expected) from error
        except asyncio.CancelledError:
            self._forget(flow, waiting)
            raise

    def _review(self, newest: _Waiting | None = None) -> None:
        """Refuse those whose turn would come after their deadline.

        The one that has just come needs some time to spare.
        """
        now = self._clock.now()
        is_due = newest or now - self._reviewed_at >= REVIEW_SECONDS
        if self._is_first_come or not is_due:
            return
        self._reviewed_at = now
        for place in self._places(now):
            waiting = typing.cast(_Waiting, place.waiting)
            due = self._forecast.seconds_until(position=place.position)
            if waiting is newest:
                due *= NEWEST_MARGIN
            if now + due > waiting.deadline and not waiting.turn.done():
                place.flow.waiting.remove(waiting)
                self._waiting -= 1
                waiting.turn.set_exception(_refused(due))
        self._forecast.note_waiting(waiting=self._waiting)

    def _places(self, now: float) -> list[_Place]:
        """Return those who wait, with how many turns come until theirs.

        A workspace that sent lately is expected to send again, and its next
        statements have their place in the order too.
        """
        places = [
            place
            for flow in self._flows.values()
            if flow.waiting or now - flow.arrived_at < RETURN_SECONDS
            for place in self._places_of(flow)
        ]
        places.sort(key=lambda place: place.start)
        for position, place in enumerate(places, start=1):
            place.position = position
        return [place for place in places if place.waiting]

    def _places_of(self, flow: _Flow) -> list[_Place]:
        """Return the places of those who wait and of those to come."""
        first = self._start(flow)
        each = flow.service_seconds / flow.weight
        waiting = itertools.zip_longest(flow.waiting, range(EXPECTED_AHEAD))
        return [
            _Place(flow=flow, waiting=waits, start=first + number * each)
            for number, (waits, _) in enumerate(waiting)
        ]

    def _forget(self, flow: _Flow, waiting: _Waiting) -> None:
        turn = waiting.turn
        if waiting in flow.waiting:
            flow.waiting.remove(waiting)
            if self._is_first_come:
                self._arrival_order.remove(flow)
            self._waiting -= 1
            self._forecast.note_waiting(waiting=self._waiting)
        elif turn.done() and not turn.cancelled() and not turn.exception():
            self._free += 1
            self._dispatch()

    def _dispatch(self) -> None:
        while self._free > 0 and self._waiting:
            flow = self._next_flow()
            turn = flow.waiting.popleft().turn
            self._waiting -= 1
            if not turn.done():
                self._free -= 1
                self._forecast.note_turn()
                turn.set_result(None)
        self._forecast.note_waiting(waiting=self._waiting)
        self._review()

    def _next_flow(self) -> _Flow:
        if self._is_first_come:
            return self._arrival_order.popleft()
        return min(
            (each for each in self._flows.values() if each.waiting),
            key=self._start,
        )

    def _start(self, flow: _Flow) -> float:
        return max(flow.finish, self._virtual_time)

    def _charge(self, flow: _Flow, seconds: float) -> None:
        self._virtual_time = self._start(flow)
        flow.finish = self._virtual_time + seconds / flow.weight

    def _settle(self, flow: _Flow, *, estimate: float, served: float) -> None:
        flow.finish += (served - estimate) / flow.weight
        newest = AVERAGE_SHARE_OF_NEWEST * served
        flow.service_seconds = (
            newest + (1 - AVERAGE_SHARE_OF_NEWEST) * flow.service_seconds
        )


def _refused(expected: float) -> errors.RefusedError:
    return errors.RefusedError(
        refusal=errors.Refusal(
            kind=errors.RefusalKind.OVERLOADED,
            message=(
                'the database can not serve this in time; '
                'send fewer statements at once or allow more time'
            ),
            retry_after_ms=max(1, clock.to_milliseconds(expected)),
        ),
    )
