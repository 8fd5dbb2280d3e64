"""Slots of one server, shared fairly between workspaces.

Start-time fair queueing: every workspace has a virtual time that grows with
the server time it used divided by its weight, and the waiting workspace
with the least goes next. What a statement costs is measured; until it ends,
the workspace's average stands in for it.
"""

import asyncio
import collections
import contextlib
import dataclasses
import typing

from egretstep import clock, errors, identifiers
from egretstep.pooling import queueing

FIRST_SERVICE_SECONDS = 0.002
AVERAGE_SHARE_OF_NEWEST = 0.2
MINIMUM_SERVICE_SECONDS = 0.0001


@dataclasses.dataclass(slots=True)
class _Flow:
    """Queue and account of one workspace."""

    weight: float = 1
    finish: float = 0
    service_seconds: float = FIRST_SERVICE_SECONDS
    waiting: collections.deque[asyncio.Future[None]] = dataclasses.field(
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
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        flow.waiting.append(turn)
        if self._is_first_come:
            self._arrival_order.append(flow)
        self._waiting += 1
        try:
            async with asyncio.timeout(remaining):
                await turn
        except TimeoutError as error:
            self._forget(flow, turn)
            raise _refused(expected) from error
        except asyncio.CancelledError:
            self._forget(flow, turn)
            raise

    def _forget(self, flow: _Flow, turn: asyncio.Future[None]) -> None:
        if turn in flow.waiting:
            flow.waiting.remove(turn)
            if self._is_first_come:
                self._arrival_order.remove(flow)
            self._waiting -= 1
        elif turn.done() and not turn.cancelled():
            self._free += 1
            self._dispatch()

    def _dispatch(self) -> None:
        while self._free > 0 and self._waiting:
            flow = self._next_flow()
            turn = flow.waiting.popleft()
            self._waiting -= 1
            if not turn.done():
                self._free -= 1
                turn.set_result(None)

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
