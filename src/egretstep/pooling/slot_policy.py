"""Orders the statements that wait for a server, and rejects some at once.

Load pattern: sustained overload and bursts by statements of different
priority, target latency and length, a part of them in open transactions that
do not wait. The important statements must meet their targets, and those that
can't be answered in time must be rejected on arrival. Each priority level and
each workspace must keep a minimum share.

Statements that can still meet their target are the timely class. The late
class gets what they leave, and at least a small share. Within a class the
priority levels share by weight, and within a level the workspaces.
"""

import dataclasses
import itertools

from egretstep import clock, identifiers
from egretstep.backends import server_load
from egretstep.pooling import (
    band_forecast,
    band_group,
    fair_share,
    queue_forecast,
    server_silence,
    service_times,
    slot_requests,
    wait_band,
)

# Share of the late class beside the timely one, whose weight is one.
LATE_CLASS_WEIGHT = 0.05
REVIEW_INTERVAL_SECONDS = 0.05
# A new statement is rejected unless its forecast wait, times this factor, ends
# before its deadline. Rejecting it on arrival is better than rejecting it late.
NEW_WAITER_SAFETY_FACTOR = 1.2
# Timely statements that arrive later delay a late one most. With a smaller
# factor it often waits and is rejected nevertheless.
NEW_LATE_WAITER_SAFETY_FACTOR = 2.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _FairCharge:
    """A charge to a workspace of a band.

    `shared_accounts` are those of its class and level, if they are charged.
    """

    band: wait_band.WaitBand
    account: fair_share.Account
    shared_accounts: tuple[fair_share.Account, ...]
    estimated_seconds: float
    level: int
    workspace: identifiers.WorkspaceName
    times: service_times.ServiceTimes
    silence: server_silence.ServerSilence

    def settle(self, served_seconds: float) -> None:
        """Replace the estimated by the measured service time."""
        difference = served_seconds - self.estimated_seconds
        if self.shared_accounts:
            for account in (self.account, *self.shared_accounts):
                account.virtual_finish += difference / account.weight
        else:
            self.band.correct_charge(self.account, difference)
        self.times.record(self.level, self.workspace, served_seconds)
        self.silence.record_end()


class FairPolicy:
    """Serves by target, then by priority level, then by workspace.

    Implements `slot_requests.SlotPolicy`.
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._times = service_times.ServiceTimes()
        self._silence = server_silence.ServerSilence(time_source=time_source)
        self._classes = fair_share.FairShare()
        self._timely = band_group.BandGroup(
            weight=1, times=self._times, time_source=time_source
        )
        self._late = band_group.BandGroup(
            weight=LATE_CLASS_WEIGHT,
            times=self._times,
            time_source=time_source,
        )
        self._late_counts = [0 for _ in range(server_load.PRIORITY_LEVEL_COUNT)]
        self._reviewed_at = time_source.now()
        self._granted_at = time_source.now()

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return self._timely.waiting + self._late.waiting

    @property
    def late_counts(self) -> list[int]:
        """Return how many requests became late so far, by level."""
        return self._late_counts

    def admit(
        self, request: slot_requests.SlotRequest, slots: float
    ) -> slot_requests.Rejection | None:
        """Let a request wait, or return why it is rejected."""
        wait_seconds = self._wait_of_new(request, slots)
        if self._misses_target(request, wait_seconds):
            self._mark_late(request)
            wait_seconds = self._wait_of_new(request, slots)
        request.expected_seconds = wait_seconds
        if self._misses_deadline(request, wait_seconds):
            return slot_requests.Rejection(
                request=request,
                wait_seconds=wait_seconds,
                reason=slot_requests.RejectionReason.FORECAST_ON_ARRIVAL,
            )
        self._add(request)
        return None

    def remove(self, request: slot_requests.SlotRequest) -> bool:
        """Remove a waiting request; return False if it does not wait."""
        return self._band_of(request).remove(request)

    def take_next(self) -> slot_requests.SlotRequest:
        """Remove and return the request that gets the next slot."""
        self._note_grant()
        request = self._first_request()
        while self._misses_target(request, 0):
            self._move_to_late(request)
            request = self._first_request()
        band = self._band_of(request)
        band.remove(request)
        band.rate.record_slot_granted()
        return request

    def review(self, slots: float) -> list[slot_requests.Rejection]:
        """Remove and return the waiting requests that can't be served.

        Requests that will miss their target become late. Does nothing if the
        latest review is recent.
        """
        now = self._clock.now()
        if now - self._reviewed_at < REVIEW_INTERVAL_SECONDS:
            return []
        self._reviewed_at = now
        rejections: list[slot_requests.Rejection] = []
        for group in (self._timely, self._late):
            for band in group.bands:
                if band.waiting:
                    rejections.extend(self._review_band(group, band, slots))
        return rejections

    def forget_rates(self) -> None:
        """Forget the rates of grants because the number of slots changed."""
        for band in itertools.chain(self._timely.bands, self._late.bands):
            band.rate.restart()

    def forget_idle(self) -> None:
        """Forget the workspaces that sent nothing for a long time."""
        for band in itertools.chain(self._timely.bands, self._late.bands):
            band.forget_idle()

    def outlook(self, slots: float) -> tuple[slot_requests.Outlook, ...]:
        """Return the outlook of each priority level."""
        return tuple(
            self._outlook_of(band, slots) for band in self._timely.bands
        )

    def charge(
        self,
        *,
        workspace: identifiers.WorkspaceName,
        weight: float,
        level: int,
        is_late: bool = False,
        has_waited: bool = True,
    ) -> _FairCharge:
        """Charge the estimated time of a statement that starts to run.

        Statements of open transactions are charged to the workspace only.
        The levels share the time that these leave, so that transactions don't
        use up the share of the statements that open new ones.
        """
        group = self._late if is_late else self._timely
        band = group.bands[level]
        seconds = self._times.of_workspace(level, workspace)
        self._silence.record_start()
        account = band.charge(workspace, weight, seconds, has_waited)
        shared_accounts: tuple[fair_share.Account, ...] = ()
        if has_waited:
            self._classes.charge(group.account, seconds)
            group.charge(band, seconds)
            shared_accounts = (group.account, band.account)
        return _FairCharge(
            band=band,
            account=account,
            shared_accounts=shared_accounts,
            estimated_seconds=seconds,
            level=level,
            workspace=workspace,
            times=self._times,
            silence=self._silence,
        )

    def _group_of(
        self, request: slot_requests.SlotRequest
    ) -> band_group.BandGroup:
        return self._late if request.is_late else self._timely

    def _band_of(
        self, request: slot_requests.SlotRequest
    ) -> wait_band.WaitBand:
        return self._group_of(request).bands[request.level]

    def _first_request(self) -> slot_requests.SlotRequest:
        group = min(
            (each for each in (self._timely, self._late) if each.waiting),
            key=lambda each: self._classes.start_of(each.account),
        )
        return group.first_band().first()

    def _note_grant(self) -> None:
        """Forget the rates when the server was unavailable meanwhile."""
        now = self._clock.now()
        if now - self._granted_at > queue_forecast.MAX_GAP_SECONDS:
            self.forget_rates()
        self._granted_at = now

    def _wait_of_new(
        self, request: slot_requests.SlotRequest, slots: float
    ) -> float:
        group = self._group_of(request)
        band = self._band_of(request)
        position = band.position_of_new(request.workspace)
        forecast = self._forecast(group, band, slots)
        factor = NEW_WAITER_SAFETY_FACTOR
        if request.is_late:
            factor = NEW_LATE_WAITER_SAFETY_FACTOR
        return factor * forecast.wait(position)

    def _forecast(
        self,
        group: band_group.BandGroup,
        band: wait_band.WaitBand,
        slots: float,
    ) -> band_forecast.BandForecast:
        return band_forecast.of_band(
            band=band,
            group=group,
            other_group=self._timely if group is self._late else self._late,
            slots=slots,
            silent_seconds=self._silence.seconds(
                mean_service_seconds=self._times.mean_seconds
            ),
        )

    def _outlook_of(
        self, band: wait_band.WaitBand, slots: float
    ) -> slot_requests.Outlook:
        position = band.position_of_new(None)
        forecast = self._forecast(self._timely, band, slots)
        wait_seconds = forecast.wait(position)
        return slot_requests.Outlook(
            wait_seconds=wait_seconds, rate=position / wait_seconds
        )

    def _misses_target(
        self, request: slot_requests.SlotRequest, wait_seconds: float
    ) -> bool:
        if request.is_late or request.target_at is None:
            return False
        return self._answered_at(request, wait_seconds) > request.target_at

    def _misses_deadline(
        self, request: slot_requests.SlotRequest, wait_seconds: float
    ) -> bool:
        return self._answered_at(request, wait_seconds) > request.deadline

    def _answered_at(
        self, request: slot_requests.SlotRequest, wait_seconds: float
    ) -> float:
        service_seconds = self._times.of_workspace(
            request.level, request.workspace
        )
        return self._clock.now() + wait_seconds + service_seconds

    def _add(self, request: slot_requests.SlotRequest) -> None:
        band = self._band_of(request)
        if request.is_late and not self._late.waiting:
            self._classes.enter(self._late.account, band.service_seconds)
        band.add(request)

    def _mark_late(self, request: slot_requests.SlotRequest) -> None:
        request.is_late = True
        self._late_counts[request.level] += 1

    def _move_to_late(self, request: slot_requests.SlotRequest) -> None:
        self._band_of(request).remove(request)
        self._mark_late(request)
        self._add(request)

    def _review_band(
        self,
        group: band_group.BandGroup,
        band: wait_band.WaitBand,
        slots: float,
    ) -> list[slot_requests.Rejection]:
        forecast = self._forecast(group, band, slots)
        rejections = []
        for position, request in band.in_order():
            wait_seconds = forecast.wait(position)
            if self._misses_target(request, wait_seconds):
                self._move_to_late(request)
            elif self._misses_deadline(request, wait_seconds):
                band.remove(request)
                rejections.append(
                    slot_requests.Rejection(
                        request=request,
                        wait_seconds=wait_seconds,
                        reason=slot_requests.RejectionReason.FORECAST_WHILE_WAITING,
                    )
                )
        return rejections
