"""Decides which window's report is composed, recorded and sent next.

Load pattern: the store or the platform does not answer for a while, or the
holder dies between two steps of a report. Reports wait in order; those that
are recorded are sent as they are.
"""

import collections
import dataclasses
import typing

import logbook

from egretstep.usage import journal

# The report of a window must not be replaced in the ring before it was sent.
MAX_UNSENT_RECORDS = journal.RING_ROWS // 2
MAX_UNRECORDED_REPORTS = 720
_logger = logbook.Logger('usage')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TakeoverState:
    """What a new holder knows: the stored records, and what hosts have heard.

    `recorded_until` is the latest window of which any host has heard that it
    is recorded; the store may have lost the record in a restore.
    `first_window` is the first one in which the fleet may have counted, and
    `oldest_window` the first one of which hosts still have the counts.
    """

    records: typing.Sequence[journal.Report]
    recorded_until: int
    first_window: int
    oldest_window: int


class ReportQueue:
    """The reports of one holder, from its takeover on."""

    def __init__(self, state: TakeoverState) -> None:
        accepted = [each.accepted_until for each in state.records]
        recorded = [each.window for each in state.records]
        self._accepted_until = max(accepted, default=0)
        self._recorded_until = max([state.recorded_until, *recorded])
        self._unsent = collections.deque(
            each for each in state.records if each.window > self._accepted_until
        )
        self._unrecorded: collections.deque[journal.Report] = (
            collections.deque()
        )
        self._next_window = self._first_to_compose(state)
        self._log_lost_records(max(recorded, default=0))

    @property
    def next_window(self) -> int:
        """Return the window whose report is composed next."""
        return self._next_window

    @property
    def waiting_count(self) -> int:
        """Return how many reports are composed but not accepted."""
        return len(self._unrecorded) + len(self._unsent)

    def compose(self, counts: typing.Mapping[str, int], epoch: int) -> None:
        """Add the report of the next window, whose content is then fixed."""
        self._unrecorded.append(
            journal.Report(
                window=self._next_window,
                counts=counts,
                epoch=epoch,
                accepted_until=self._accepted_until,
            )
        )
        self._next_window += 1
        if len(self._unrecorded) > MAX_UNRECORDED_REPORTS:
            dropped = self._unrecorded.popleft()
            _logger.error(
                'the usage of window {} is not reported: more than {} reports '
                'wait for the store or the platform',
                dropped.window,
                MAX_UNRECORDED_REPORTS,
            )

    def to_record(self) -> journal.Report | None:
        """Return the oldest report that is not recorded, if it may be."""
        if not self._unrecorded or len(self._unsent) >= MAX_UNSENT_RECORDS:
            return None
        return dataclasses.replace(
            self._unrecorded[0], accepted_until=self._accepted_until
        )

    def mark_recorded(
        self, report: journal.Report, recorded: journal.Report | None
    ) -> None:
        """Note what is recorded for the window of the oldest report.

        None means that its row holds a later window.
        """
        self._unrecorded.popleft()
        if recorded is not None:
            self._unsent.append(recorded)
        if recorded is None or recorded.counts != report.counts:
            _logger.warning(
                'usage window {}: {} is recorded instead of the report of '
                'epoch {}',
                report.window,
                'a later window' if recorded is None else recorded,
                report.epoch,
            )

    def to_send(self) -> journal.Report | None:
        """Return the oldest recorded report that was not accepted."""
        return self._unsent[0] if self._unsent else None

    def mark_accepted(self) -> None:
        """Note that the platform has accepted the oldest recorded report."""
        self._accepted_until = self._unsent.popleft().window

    def _first_to_compose(self, state: TakeoverState) -> int:
        if not self._recorded_until:
            return max(state.first_window, state.oldest_window)
        following = self._recorded_until + 1
        if following < state.oldest_window:
            _logger.warning(
                'the usage of windows {} to {} is not reported: the hosts no '
                'longer have the counts',
                following,
                state.oldest_window - 1,
            )
        return max(following, state.oldest_window)

    def _log_lost_records(self, stored_until: int) -> None:
        if stored_until < self._recorded_until:
            _logger.warning(
                'the store has lost the usage records of windows {} to {}; '
                'these may have been sent and are not composed again',
                stored_until + 1,
                self._recorded_until,
            )
