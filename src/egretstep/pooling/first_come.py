"""Serves requests in the order of arrival: the baseline to compare with.

It uses neither priority nor target, and rejects on arrival only by the share
of the workspace.
"""

import collections
import dataclasses

from egretstep import clock, identifiers
from egretstep.backends import server_load
from egretstep.pooling import queue_forecast, service_times, slot_requests


@dataclasses.dataclass(slots=True)
class _Workspace:
    weight: float = 1
    waiting: int = 0
    service_seconds: float = service_times.INITIAL_SERVICE_ESTIMATE_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class _FirstComeCharge:
    workspace: _Workspace

    def settle(self, served_seconds: float) -> None:
        """Record the measured service time."""
        self.workspace.service_seconds += service_times.NEWEST_SAMPLE_SHARE * (
            served_seconds - self.workspace.service_seconds
        )


class FirstComePolicy:
    """Implements `slot_requests.SlotPolicy`."""

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._requests: collections.deque[slot_requests.SlotRequest] = (
            collections.deque()
        )
        self._workspaces: dict[identifiers.WorkspaceName, _Workspace] = {}
        self._forecast = queue_forecast.QueueForecast(time_source=time_source)

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._requests)

    @property
    def late_counts(self) -> list[int]:
        """Return no counts, because this policy knows no targets."""
        return []

    def admit(
        self, request: slot_requests.SlotRequest, slots: float
    ) -> slot_requests.Rejection | None:
        """Let a request wait, or return why it is rejected."""
        wait_seconds = self._expected_wait(
            workspace=request.workspace, weight=request.weight, slots=slots
        )
        if wait_seconds > request.deadline - self._clock.now():
            return slot_requests.Rejection(
                request=request,
                wait_seconds=wait_seconds,
                reason=slot_requests.RejectionReason.FORECAST_ON_ARRIVAL,
            )
        request.expected_seconds = wait_seconds
        workspace = self._get_workspace(request.workspace, request.weight)
        workspace.waiting += 1
        self._requests.append(request)
        self._forecast.record_waiting(waiting=self.waiting)
        return None

    def remove(self, request: slot_requests.SlotRequest) -> bool:
        """Remove a waiting request; return False if it does not wait."""
        if request not in self._requests:
            return False
        self._requests.remove(request)
        self._workspaces[request.workspace].waiting -= 1
        self._forecast.record_waiting(waiting=self.waiting)
        return True

    def take_next(self) -> slot_requests.SlotRequest:
        """Remove and return the request that came first."""
        request = self._requests[0]
        self._forecast.record_slot_granted()
        self.remove(request)
        return request

    def review(self, slots: float) -> list[slot_requests.Rejection]:
        """Reject nothing."""
        return []

    def forget_rates(self) -> None:
        """Forget the rate of grants because the number of slots changed."""
        self._forecast.restart()

    def forget_idle(self) -> None:
        """Forget nothing."""

    def outlook(self, slots: float) -> tuple[slot_requests.Outlook, ...]:
        """Return the same outlook for each priority level."""
        position = self.waiting + 1
        wait_seconds = self._forecast.seconds_until(position=position)
        each = slot_requests.Outlook(
            wait_seconds=wait_seconds,
            rate=position / wait_seconds if wait_seconds else 0,
        )
        return (each,) * server_load.PRIORITY_LEVEL_COUNT

    def charge(
        self,
        *,
        workspace: identifiers.WorkspaceName,
        weight: float,
        level: int,
        is_late: bool = False,
        has_waited: bool = True,
    ) -> _FirstComeCharge:
        """Return a charge that measures the service time."""
        return _FirstComeCharge(self._get_workspace(workspace, weight))

    def _expected_wait(
        self,
        *,
        workspace: identifiers.WorkspaceName,
        weight: float,
        slots: float,
    ) -> float:
        """Return the wait of a new statement by the workspace's share."""
        own = self._workspaces.get(workspace, _Workspace())
        total_weight = weight + sum(
            other.weight
            for name, other in self._workspaces.items()
            if other.waiting and name != workspace
        )
        slot_share = slots * weight / total_weight
        return (own.waiting + 1) * own.service_seconds / slot_share

    def _get_workspace(
        self, name: identifiers.WorkspaceName, weight: float
    ) -> _Workspace:
        workspace = self._workspaces.setdefault(name, _Workspace())
        workspace.weight = weight
        return workspace
