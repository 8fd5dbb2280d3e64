"""Requests for a slot of a server, and what a policy decides about them."""

import dataclasses
import enum
import typing

from egretstep import identifiers


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class SlotRequest:
    """A statement that asks for a slot.

    `level` is its priority level. `deadline` and `target_at`, the end of the
    operation's target latency, are monotonic times. `is_late` tells that the
    target is not expected to be met. `expected_seconds` is the forecast wait
    on arrival.
    """

    workspace: identifiers.WorkspaceName
    weight: float
    level: int
    deadline: float
    target_at: float | None = None
    is_late: bool = False
    expected_seconds: float = 0


class RejectionReason(enum.Enum):
    """Why a statement did not get a slot."""

    FORECAST_ON_ARRIVAL = 'forecast on arrival'
    FORECAST_WHILE_WAITING = 'forecast while waiting'
    DEADLINE = 'deadline'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """A request that can't be served in time; the forecast is in seconds."""

    request: SlotRequest
    wait_seconds: float
    reason: RejectionReason


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outlook:
    """When a priority level has served those that wait there now.

    `wait_seconds` is the forecast wait of a new statement and `rate` the
    number of slots that the level gets in a second.
    """

    wait_seconds: float
    rate: float


class Charge(typing.Protocol):
    """Service time that was charged in advance."""

    def settle(self, served_seconds: float) -> None:
        """Replace the estimated by the measured service time."""


class SlotPolicy(typing.Protocol):
    """Orders the requests that wait for a slot, and rejects some.

    `slots` is the number of slots that waiting requests can get, without
    those of open transactions. It need not be whole.
    """

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""

    @property
    def late_counts(self) -> list[int]:
        """Return how many requests became late so far, by level."""

    def admit(self, request: SlotRequest, slots: float) -> Rejection | None:
        """Let a request wait, or return why it is rejected."""

    def remove(self, request: SlotRequest) -> bool:
        """Remove a waiting request; return False if it does not wait."""

    def take_next(self) -> SlotRequest:
        """Remove and return the request that gets the next slot."""

    def review(self, slots: float) -> list[Rejection]:
        """Remove and return the waiting requests that can't be served."""

    def forget_rates(self) -> None:
        """Forget the rates of grants because the number of slots changed."""

    def forget_idle(self) -> None:
        """Forget the workspaces that sent nothing for a long time."""

    def outlook(self, slots: float) -> tuple[Outlook, ...]:
        """Return the outlook of each priority level."""

    def charge(
        self,
        *,
        workspace: identifiers.WorkspaceName,
        weight: float,
        level: int,
        is_late: bool = False,
        has_waited: bool = True,
    ) -> Charge:
        """Charge the estimated time of a statement that starts to run.

        `has_waited` is False for statements of open transactions, which run
        without regard to the order.
        """
