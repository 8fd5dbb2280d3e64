"""Waiting statements of one priority level, timely or late.

Workspaces share a band fairly by measured service time. Counters give the
place of a new statement without sorting: in its n-th round a workspace is
served after the first n statements of each other workspace.
"""

import collections
import dataclasses
import itertools
import math
import typing

from egretstep import clock, identifiers
from egretstep.pooling import (
    fair_share,
    queue_forecast,
    service_times,
    slot_requests,
)

# A workspace that sent a statement within this time is expected to send more.
ACTIVE_FLOW_SECONDS = 1.0
EXPECTED_ARRIVALS_PER_FLOW = 2
IDLE_FLOW_SECONDS = 60.0
# Expected statements can at most double a position. Where few statements of
# many workspaces are admitted, most of the expected ones never get a place.
MAX_EXPECTED_FACTOR = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class _Flow:
    """Waiting statements and virtual time of one workspace.

    `used_at` is the monotonic time at which the latest statement arrived or
    began to run, `latest_arrival_at` that of one which takes a slot.
    """

    workspace: identifiers.WorkspaceName
    account: fair_share.Account
    used_at: float = -math.inf
    latest_arrival_at: float = -math.inf
    requests: collections.deque[slot_requests.SlotRequest] = dataclasses.field(
        default_factory=collections.deque,
    )


_Entry = tuple[float, slot_requests.SlotRequest | None]


class WaitBand:
    """The waiting statements of one level and class.

    `account` is the band's own account in the group of its class. `rate`
    measures how fast the band gets slots.
    """

    def __init__(
        self,
        *,
        level: int,
        weight: float,
        times: service_times.ServiceTimes,
        time_source: clock.Clock,
    ) -> None:
        self._clock = time_source
        self._times = times
        self._share = fair_share.FairShare()
        self._flows: dict[identifiers.WorkspaceName, _Flow] = {}
        self._waiting_flows: dict[identifiers.WorkspaceName, _Flow] = {}
        # Number of workspaces with more than `index` waiting statements.
        self._depths: list[int] = []
        self.level = level
        self.waiting = 0
        self.account = fair_share.Account(weight=weight)
        # A gap in the grants of one band says nothing about the server.
        self.rate = queue_forecast.QueueForecast(
            time_source=time_source, max_gap_seconds=math.inf
        )

    @property
    def work_seconds(self) -> float:
        """Return the expected service time of all waiting statements."""
        return self.waiting * self.service_seconds

    @property
    def service_seconds(self) -> float:
        """Return the recent mean service time of the level."""
        return self._times.of_level(self.level)

    def add(self, request: slot_requests.SlotRequest) -> None:
        """Put a statement behind the others of its workspace."""
        flow = self._get_flow(request.workspace, request.weight)
        flow.latest_arrival_at = self._clock.now()
        flow.requests.append(request)
        self._waiting_flows[request.workspace] = flow
        if len(flow.requests) > len(self._depths):
            self._depths.append(0)
        self._depths[len(flow.requests) - 1] += 1
        self._count(1)

    def remove(self, request: slot_requests.SlotRequest) -> bool:
        """Remove a statement; return False if it does not wait here."""
        flow = self._waiting_flows.get(request.workspace)
        if flow is None or request not in flow.requests:
            return False
        self._depths[len(flow.requests) - 1] -= 1
        flow.requests.remove(request)
        if not flow.requests:
            self._waiting_flows.pop(request.workspace)
        self._count(-1)
        return True

    def first(self) -> slot_requests.SlotRequest:
        """Return the statement that is served next."""
        flow = min(
            self._waiting_flows.values(),
            key=self._turn_of,
        )
        return flow.requests[0]

    def position_of_new(
        self, workspace: identifiers.WorkspaceName | None
    ) -> int:
        """Return the place of a new statement; None is a new workspace."""
        rounds = 0
        flow = self._flows.get(workspace) if workspace else None
        if flow:
            step = self._step_of(flow)
            lead = self._share.lead_of(flow.account)
            rounds = len(flow.requests) + int(lead / step)
        return sum(self._depths[: rounds + 1]) + 1

    def in_order(
        self,
    ) -> typing.Iterator[tuple[int, slot_requests.SlotRequest]]:
        """Yield the waiting statements and their forecast positions.

        The positions also count the statements that recently active
        workspaces are expected to send. A statement that the receiver
        removes does not count for the later ones.
        """
        entries = self._entries(self._clock.now())
        entries.sort(key=lambda entry: entry[0])
        ahead = 0
        expected = 0
        for _, request in entries:
            if request is None:
                expected += 1
                continue
            count_before = self.waiting
            position = ahead + 1
            yield (
                min(position + expected, position * MAX_EXPECTED_FACTOR),
                request,
            )
            ahead += self.waiting == count_before

    def forget_idle(self) -> None:
        """Forget workspaces that sent nothing for `IDLE_FLOW_SECONDS`."""
        limit = self._clock.now() - IDLE_FLOW_SECONDS
        idle = [
            flow
            for flow in self._flows.values()
            if flow.used_at < limit and not flow.requests
        ]
        for flow in idle:
            self._flows.pop(flow.workspace)

    def charge(
        self,
        workspace: identifiers.WorkspaceName,
        weight: float,
        seconds: float,
        has_waited: bool,
    ) -> fair_share.Account:
        """Charge a workspace and return its account.

        `has_waited` is False for a statement that ran out of order.
        """
        flow = self._get_flow(workspace, weight)
        if has_waited:
            flow.latest_arrival_at = self._clock.now()
        if has_waited or not self.waiting:
            self._share.charge(flow.account, seconds)
        else:
            self._share.charge_out_of_order(flow.account, seconds)
        return flow.account

    def correct_charge(
        self, account: fair_share.Account, seconds: float
    ) -> None:
        """Correct the charge of a statement that ran out of order."""
        self._share.correct_out_of_order(account, seconds)

    def _turn_of(self, flow: _Flow) -> tuple[float, float, int]:
        """Return the key by which the next workspace is chosen.

        Of those with the same start, the one that used less goes first, then
        the one with fewer waiting statements.
        """
        account = flow.account
        return (
            self._share.start_of(account),
            account.virtual_finish,
            len(flow.requests),
        )

    def _count(self, change: int) -> None:
        self.waiting += change
        self.rate.record_waiting(waiting=self.waiting)

    def _get_flow(
        self, workspace: identifiers.WorkspaceName, weight: float
    ) -> _Flow:
        flow = self._flows.get(workspace)
        if flow is None:
            flow = _Flow(workspace=workspace, account=fair_share.Account())
            self._flows[workspace] = flow
        flow.account.weight = weight
        flow.used_at = self._clock.now()
        return flow

    def _step_of(self, flow: _Flow) -> float:
        seconds = self._times.of_workspace(self.level, flow.workspace)
        return seconds / flow.account.weight

    def _entries(self, now: float) -> list[_Entry]:
        return [
            entry
            for flow in self._flows.values()
            if flow.requests
            or now - flow.latest_arrival_at < ACTIVE_FLOW_SECONDS
            for entry in self._entries_of(flow)
        ]

    def _entries_of(self, flow: _Flow) -> list[_Entry]:
        """Return the waiting and expected statements of one workspace."""
        first_start = self._share.start_of(flow.account)
        step = self._step_of(flow)
        pairs = itertools.zip_longest(
            flow.requests, range(EXPECTED_ARRIVALS_PER_FLOW)
        )
        return [
            (first_start + number * step, request)
            for number, (request, _) in enumerate(pairs)
        ]
