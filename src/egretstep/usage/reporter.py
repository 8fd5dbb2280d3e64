"""Reports the usage of each window to the platform while this host holds it.

The holder of the usage task composes a window's report some seconds after its
end, records it in the store and only then sends it, so that a later holder
sends the same content. It waits before its first report, and it sends only
while its lease holds for longer than the call may take.
"""

import asyncio
import typing

import logbook

from egretstep import clock, errors
from egretstep.membership import claims, leases
from egretstep.observability import metrics
from egretstep.settings import node
from egretstep.usage import (
    collector,
    counter,
    journal,
    report_queue,
    window_clock,
)

TASK = claims.TaskName('usage')
POLL_SECONDS = 0.2
MAX_CALL_SECONDS = 1.0
MIN_CALL_SECONDS = 0.3
# A call is given up this long before the lease expires.
LEASE_MARGIN_SECONDS = 0.1
_FAILURES = (errors.PlatformError, errors.ConflictError)
_logger = logbook.Logger('usage')


class ReportRefusedError(errors.PlatformError):
    """The platform does not accept a report, also if it is sent again."""


class UsagePlatform(typing.Protocol):
    """The platform's interface for usage."""

    async def send(
        self, report: journal.Report, *, epoch: int, timeout: float
    ) -> None:
        """Send a report as the holder of an epoch.

        Raises `ReportRefusedError` if the platform refuses its content, and
        `errors.PlatformError` if it may be sent again.
        """


class UsageReporter:
    """Reports usage for each claim on the task, until the next one.

    `settle_seconds` returns how long after the end of a window all hosts have
    sent their counts of it.
    """

    def __init__(
        self,
        *,
        settings: node.UsageSettings,
        windows: window_clock.WindowClock,
        counts: collector.UsageCollector,
        reports: journal.ReportJournal,
        platform: UsagePlatform,
        keeper: leases.LeaseKeeper,
        settle_seconds: typing.Callable[[], float],
        time_source: clock.Clock,
    ) -> None:
        self._settings = settings
        self._windows = windows
        self._collector = counts
        self._journal = reports
        self._platform = platform
        self._keeper = keeper
        self._settle_seconds = settle_seconds
        self._clock = time_source
        self._first_window = windows.window()
        self._running: asyncio.Task[None] | None = None
        self._claim: claims.Claim | None = None
        self._recorded_until = 0
        self._lapsed_at = float('-inf')

    @property
    def recorded_until(self) -> int:
        """Return the latest window that this host knows to be recorded."""
        return self._recorded_until

    @property
    def is_serving(self) -> bool:
        """Return whether this host collects the counts as the holder."""
        return self._claim is not None and self._is_current(self._claim)

    def learn_recorded(self, window: int) -> None:
        """Note that the report of a window is recorded, as a host says."""
        self._recorded_until = max(self._recorded_until, window)

    def start(self, claim: claims.Claim) -> None:
        """Begin to collect counts, and to report when the wait is over."""
        former = self._running
        if former is not None:
            former.cancel()
        self._claim = claim
        self._collector.reopen()
        self._running = asyncio.ensure_future(self._serve(claim, former))

    async def stop(self) -> None:
        """End reporting; a call in flight is given up and reset."""
        self._claim = None
        self._collector.reopen()
        running = self._running
        if running is not None:
            running.cancel()
            await asyncio.wait({running})

    def _is_current(self, claim: claims.Claim) -> bool:
        known = self._keeper.known.get(TASK)
        return known is not None and known.epoch == claim.epoch

    async def _serve(
        self, claim: claims.Claim, former: asyncio.Task[None] | None
    ) -> None:
        """Report until the claim is over, after the former one has ended."""
        started_at = self._clock.now()
        if former is not None:
            await asyncio.wait({former})
        while self._is_current(claim):
            try:
                await self._run(claim, started_at)
            except Exception:
                _logger.exception('usage reports have failed and start again')
                await asyncio.sleep(POLL_SECONDS)

    async def _run(self, claim: claims.Claim, started_at: float) -> None:
        # Former holders have then ended, and the hosts have sent their counts.
        await self._wait(
            max(self._settings.lease_seconds, self._settle_seconds())
        )
        queue = await self._take_over(claim, started_at)
        while queue is not None and self._is_current(claim):
            if not await self._try_step(queue, claim):
                await asyncio.sleep(POLL_SECONDS)
        _logger.info('usage reports of epoch {} have ended', claim.epoch)

    def _oldest_window(self, started_at: float) -> int:
        """Return the first window of which hosts had the counts at a time.

        The clock of the windows may have been corrected since then.
        """
        elapsed = self._clock.now() - started_at
        oldest = self._windows.now() - elapsed - counter.RETENTION_SECONDS
        return int(oldest // self._windows.window_seconds)

    async def _wait(self, seconds: float) -> None:
        ends_at = self._clock.now() + seconds
        while self._clock.now() < ends_at:
            await asyncio.sleep(POLL_SECONDS)

    async def _take_over(
        self, claim: claims.Claim, started_at: float
    ) -> report_queue.ReportQueue | None:
        """Read the records; None if the claim is over before that."""
        while self._is_current(claim):
            try:
                records = await self._journal.read_all()
            except errors.PlatformError as error:
                _logger.warning('usage records can not be read: {}', error)
                await asyncio.sleep(POLL_SECONDS)
            else:
                return self._make_queue(claim, records, started_at)
        return None

    def _make_queue(
        self,
        claim: claims.Claim,
        records: typing.Sequence[journal.Report],
        started_at: float,
    ) -> report_queue.ReportQueue:
        counted = [window for _, window in self._collector.held]
        queue = report_queue.ReportQueue(
            report_queue.TakeoverState(
                records=records,
                recorded_until=self._recorded_until,
                first_window=min([self._first_window, *counted]),
                oldest_window=self._oldest_window(started_at),
            ),
        )
        self._collector.discard_until(queue.next_window - 1)
        _logger.info(
            'usage is reported in epoch {} from window {} on; {} records wait',
            claim.epoch,
            queue.next_window,
            queue.waiting_count,
        )
        return queue

    async def _try_step(
        self, queue: report_queue.ReportQueue, claim: claims.Claim
    ) -> bool:
        """Compose, record and send; return whether there was progress."""
        try:
            self._compose_due(queue, claim)
            is_recorded = await self._record_next(queue, claim)
            is_sent = await self._send_next(queue, claim)
        except Exception:
            _logger.exception('usage could not be reported; tried again')
            return False
        metrics.waiting_usage_reports.set({}, queue.waiting_count)
        return is_recorded or is_sent

    def _compose_due(
        self, queue: report_queue.ReportQueue, claim: claims.Claim
    ) -> None:
        if not self._keeper.is_held(TASK, claim.epoch):
            self._lapsed_at = self._clock.now()
        settle_seconds = self._settle_seconds()
        while self._is_settled(queue.next_window, settle_seconds):
            counts = self._collector.compose(queue.next_window)
            queue.compose(counts, claim.epoch)

    def _is_settled(self, window: int, settle_seconds: float) -> bool:
        """Return whether all hosts have sent their counts of a window.

        Hosts may not have reached this one while its lease was not renewed.
        They then send again what they keep.
        """
        age = self._windows.seconds_since_end(window)
        if age >= counter.RETENTION_SECONDS:
            return True
        since_lapse = self._clock.now() - self._lapsed_at
        return min(age, since_lapse) >= settle_seconds

    async def _record_next(
        self, queue: report_queue.ReportQueue, claim: claims.Claim
    ) -> bool:
        report = queue.to_record()
        if report is None or not self._keeper.is_held(TASK, claim.epoch):
            return False
        try:
            recorded = await self._journal.record(report)
        except _FAILURES as error:
            _logger.warning(
                'usage window {}: it is not known whether the report is '
                'recorded; the record is read again: {}',
                report.window,
                error,
            )
            return False
        queue.mark_recorded(report, recorded)
        self.learn_recorded(report.window)
        return True

    async def _send_next(
        self, queue: report_queue.ReportQueue, claim: claims.Claim
    ) -> bool:
        report = queue.to_send()
        if report is None or not self._keeper.is_held(TASK, claim.epoch):
            return False
        lease = self._keeper.remaining_lease(TASK) - LEASE_MARGIN_SECONDS
        if lease < MIN_CALL_SECONDS:
            return False
        timeout = min(lease, MAX_CALL_SECONDS)
        try:
            await self._platform.send(
                report, epoch=claim.epoch, timeout=timeout
            )
        except ReportRefusedError as error:
            return self._give_up_late(queue, report, error)
        except errors.PlatformError as error:
            _logger.warning('usage report is sent again: {}', error)
            metrics.usage_reports.inc('unanswered')
            return False
        queue.mark_accepted()
        metrics.usage_reports.inc('accepted')
        _logger.info(
            'usage window {} reported in epoch {}, {:.1f} s after its end: {} '
            'statements of {} workspaces, composed in epoch {}',
            report.window,
            claim.epoch,
            self._windows.seconds_since_end(report.window),
            sum(report.counts.values()),
            len(report.counts),
            report.epoch,
        )
        return True

    def _give_up_late(
        self,
        queue: report_queue.ReportQueue,
        report: journal.Report,
        error: ReportRefusedError,
    ) -> bool:
        """Drop a report that was refused until it was late.

        It would block all later ones.
        """
        metrics.usage_reports.inc('refused')
        age = self._windows.seconds_since_end(report.window)
        is_late = age > self._settings.late_seconds
        if is_late:
            queue.mark_accepted()
        _logger.error(
            'usage window {} is refused, {}: {}',
            report.window,
            'and given up' if is_late else 'and sent again',
            error,
        )
        return is_late
