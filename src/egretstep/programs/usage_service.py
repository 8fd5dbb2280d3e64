"""Connects the components that count and report usage.

A host whose settings ask for no reports has a service that does nothing.
"""

import typing

from egretstep import clock
from egretstep.membership import claims, directory, fleet_links, leases
from egretstep.peers import usage_messages
from egretstep.pooling import usage_hook
from egretstep.settings import node
from egretstep.storage import tables
from egretstep.usage import (
    collector,
    counter,
    journal,
    reporter,
    sender,
    window_clock,
)

# A planned stop ends within its grace period.
FLUSH_SECONDS = 0.5
# After its interval, a message may be repeated once.
SETTLE_MARGIN_SECONDS = 1.5
# The rest of the time is for a change of the holder.
MAX_SETTLE_SHARE = 0.7


class UsageService(typing.Protocol):
    """What the other components of a host need of the reports of usage."""

    @property
    def is_enabled(self) -> bool:
        """Return whether the fleet has to run the usage task."""

    @property
    def recorder(self) -> usage_hook.UsageRecorder:
        """Return what counts the statements of the brokers."""

    def start(self, claim: claims.Claim) -> None:
        """Start the usage task, which this host has claimed."""

    async def stop(self) -> None:
        """Stop the usage task before it is handed over."""

    def accept(
        self, call: usage_messages.UsageCall
    ) -> usage_messages.UsageReply:
        """Take the counts that another host sent."""

    async def run(self) -> None:
        """Send the counts of this host until cancelled."""

    async def flush(self) -> None:
        """Send the last counts before this host ends."""


class UsageReports:
    """Counts the statements of this host, and reports those of the fleet."""

    is_enabled = True

    def __init__(
        self,
        *,
        recorder: counter.UsageCounter,
        usage_reporter: reporter.UsageReporter,
        usage_sender: sender.UsageSender,
    ) -> None:
        self._sender = usage_sender
        self.recorder: usage_hook.UsageRecorder = recorder
        self.start = usage_reporter.start
        self.stop = usage_reporter.stop
        self.accept = usage_sender.accept
        self.run = usage_sender.run

    async def flush(self) -> None:
        """Send the last counts before this host ends."""
        await self._sender.flush(FLUSH_SECONDS)


class NoUsageReports:
    """Counts and reports nothing."""

    is_enabled = False
    recorder: usage_hook.UsageRecorder = usage_hook.UNCOUNTED

    def start(self, claim: claims.Claim) -> None:
        """Start nothing."""

    async def stop(self) -> None:
        """Stop nothing."""

    def accept(
        self, call: usage_messages.UsageCall
    ) -> usage_messages.UsageReply:
        """Refuse the counts of a host that has other settings."""
        return usage_messages.UsageReply(
            is_serving=False,
            recorded_until=call.recorded_until,
            fleet_time=None,
        )

    async def run(self) -> None:
        """Return at once."""

    async def flush(self) -> None:
        """Return at once."""


DISABLED = NoUsageReports()


def make(
    *,
    settings: node.UsageSettings | None,
    store: tables.Tables,
    platform: reporter.UsagePlatform,
    hosts: directory.Directory,
    keeper: leases.LeaseKeeper,
    peers: fleet_links.FleetLinks,
    time_source: clock.Clock,
) -> UsageService:
    """Return the service of a host; `settings` is None without reports."""
    if settings is None:
        return DISABLED
    windows = window_clock.WindowClock(
        window_seconds=settings.window_seconds,
        time_source=time_source,
    )
    collected = collector.UsageCollector()
    counts = counter.UsageCounter(windows=windows)
    usage_reporter = reporter.UsageReporter(
        settings=settings,
        windows=windows,
        counts=collected,
        reports=journal.ReportJournal(store=store),
        platform=platform,
        keeper=keeper,
        settle_seconds=lambda: _settle_seconds(settings, hosts),
        time_source=time_source,
    )
    return UsageReports(
        recorder=counts,
        usage_reporter=usage_reporter,
        usage_sender=sender.UsageSender(
            counts=counts,
            collected=collected,
            usage_reporter=usage_reporter,
            windows=windows,
            hosts=hosts,
            keeper=keeper,
            peers=peers,
            time_source=time_source,
        ),
    )


def _settle_seconds(
    settings: node.UsageSettings, hosts: directory.Directory
) -> float:
    """Return how long after a window's end all hosts have sent its counts."""
    return min(
        sender.interval_seconds(hosts) + SETTLE_MARGIN_SECONDS,
        settings.late_seconds * MAX_SETTLE_SHARE,
    )
