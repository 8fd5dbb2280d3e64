"""Hosts that count and report usage in one process, on virtual time."""

import asyncio
import collections
import contextlib
import dataclasses
import types
import typing

from egretstep import errors, identifiers
from egretstep.backends import answers
from egretstep.membership import claims, directory
from egretstep.pooling import work as work_module
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
from tests import platform_fakes, virtual_time
from tests.pooling import test_broker

SETTINGS = node.UsageSettings(
    window_seconds=5, late_seconds=10, lease_seconds=3
)
SETTLE_SECONDS = 2.5
# The start of 1970 plus this is the start of the loop's time, in seconds.
EPOCH_SECONDS = 1_000_000
FIRST_WINDOW = EPOCH_SECONDS // SETTINGS.window_seconds
LEASE_SECONDS = 1.25
STATEMENT_PAUSE_SECONDS = 0.05
CLOCK = virtual_time.LoopClock()


class SlowTables(platform_fakes.FakeTables):
    """A store whose writes take effect and are answered late."""

    def __init__(self) -> None:
        super().__init__()
        self.write_delay = 0.0
        self.answer_delay = 0.0
        self.write_count = 0

    async def compare_and_swap(
        self, table: str, key: str, **change: typing.Any
    ) -> tables.Version:
        """Start a write that goes on if the caller does not wait for it."""
        writing = asyncio.ensure_future(self._write(table, key, **change))
        writing.add_done_callback(lambda done: done.exception())
        await asyncio.wait({writing}, timeout=1)
        if not writing.done():
            raise errors.PlatformError('the store did not answer in time')
        return writing.result()

    async def _write(
        self, table: str, key: str, **change: typing.Any
    ) -> tables.Version:
        await asyncio.sleep(self.write_delay)
        version = await platform_fakes.FakeTables.compare_and_swap(
            self, table, key, **change
        )
        self.write_count += 1
        await asyncio.sleep(self.answer_delay)
        return version


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A call that the platform accepted."""

    at: float
    holder: str
    epoch: int
    window: int
    counts: dict[str, int]


class Platform:
    """Accepts reports; `violations` lists breaches of the contract.

    While `is_silent` is set, reports are accepted but not answered. The window
    `refused` is not accepted.
    """

    def __init__(self) -> None:
        self.accepted: list[Accepted] = []
        self.contents: dict[int, dict[str, int]] = {}
        self.accepted_at: dict[int, float] = {}
        self.violations: list[str] = []
        self.is_silent = False
        self.is_down = False
        self.refused: int | None = None

    def of(self, holder: str) -> 'HostPlatform':
        return HostPlatform(platform=self, holder=holder)

    def take(self, call: Accepted) -> None:
        known = self.contents.setdefault(call.window, call.counts)
        if known != call.counts:
            self.violations.append(f'{call.window}: {known}, {call.counts}')
        latest = self.accepted[-1] if self.accepted else call
        if latest.epoch > call.epoch:
            self.violations.append(f'{latest} before {call}')
        elapsed = call.at - latest.at
        is_other = latest.holder != call.holder
        if is_other and elapsed < SETTINGS.lease_seconds:
            self.violations.append(f'{latest} alternates with {call}')
        self.accepted.append(call)
        self.accepted_at.setdefault(call.window, call.at)


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostPlatform:
    platform: Platform
    holder: str

    async def send(
        self, report: journal.Report, *, epoch: int, timeout: float
    ) -> None:
        if self.platform.is_down:
            raise errors.PlatformError('503')
        if report.window == self.platform.refused:
            raise reporter.ReportRefusedError('409')
        self.platform.take(
            Accepted(
                at=CLOCK.now(),
                holder=self.holder,
                epoch=epoch,
                window=report.window,
                counts=dict(report.counts),
            )
        )
        if self.platform.is_silent:
            await asyncio.sleep(timeout)
            raise errors.PlatformError('no answer in time')


class Keeper:
    """The claims that a host knows, and its lease, which tests set."""

    def __init__(self) -> None:
        self.known: dict[claims.TaskName, claims.Claim] = {}
        self.held_epoch: int | None = None

    def is_held(self, _task: claims.TaskName, epoch: int) -> bool:
        return self.held_epoch == epoch

    def remaining_lease(self, _task: claims.TaskName) -> float:
        return LEASE_SECONDS if self.held_epoch else 0


class Host:
    """One host; `time_step` is by how much its time of day is wrong."""

    def __init__(self, name: str, fleet: 'Fleet') -> None:
        self.time_step = 0.0
        self.name = identifiers.HostName(name)
        self.keeper = Keeper()
        self.windows = window_clock.WindowClock(
            window_seconds=SETTINGS.window_seconds,
            time_source=CLOCK,
            read_time_of_day=lambda: (
                EPOCH_SECONDS + CLOCK.now() + self.time_step
            ),
        )
        self.collected = collector.UsageCollector()
        self.counter = counter.UsageCounter(windows=self.windows)
        self.reporter = reporter.UsageReporter(
            settings=SETTINGS,
            windows=self.windows,
            counts=self.collected,
            reports=journal.ReportJournal(store=fleet.store),
            platform=fleet.platform.of(name),
            keeper=self.keeper,
            settle_seconds=lambda: SETTLE_SECONDS,
            time_source=CLOCK,
        )
        hosts = directory.Directory(
            own=platform_fakes.host(name), time_source=CLOCK
        )
        hosts._hosts = fleet.host_rows
        self.sender = sender.UsageSender(
            counts=self.counter,
            collected=self.collected,
            usage_reporter=self.reporter,
            windows=self.windows,
            hosts=hosts,
            keeper=self.keeper,
            peers=fleet,
            time_source=CLOCK,
        )
        self.tasks: list[asyncio.Task[None]] = []

    async def kill(self) -> None:
        """End all that this host does at once."""
        self.keeper.held_epoch = None
        await self.reporter.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Fleet:
    """Hosts with a store and a platform; `sent` holds the true counts."""

    def __init__(self, names: str = 'abc') -> None:
        self.store = SlowTables()
        self.platform = Platform()
        self.host_rows = {
            identifiers.HostName(name): platform_fakes.host(name)
            for name in names
        }
        self.hosts = {name: Host(name, self) for name in names}
        self.sent: collections.Counter[int] = collections.Counter()
        self.unreachable: str | None = None

    @property
    def counted(self) -> dict[int, int]:
        """Return the sums of the reports that the platform accepted."""
        return {
            window: sum(counts.values())
            for window, counts in self.platform.contents.items()
        }

    def start(self) -> None:
        """Let all hosts serve statements and send their counts."""
        for host in self.hosts.values():
            host.tasks = [
                asyncio.ensure_future(host.sender.run()),
                asyncio.ensure_future(self._serve(host)),
            ]

    def hold(self, name: str, epoch: int) -> None:
        """Give the task to a host; all others hear of it."""
        claim = claims.Claim(
            task=reporter.TASK,
            host=identifiers.HostName(name),
            boot=1,
            epoch=epoch,
        )
        for host in self.hosts.values():
            host.keeper.held_epoch = epoch if host.name == name else None
            host.keeper.known = {reporter.TASK: claim}
        self.hosts[name].reporter.start(claim)

    async def kill(self, name: str) -> None:
        """End a host without notice."""
        del self.host_rows[identifiers.HostName(name)]
        await self.hosts.pop(name).kill()

    async def call(
        self,
        host: identifiers.HostName,
        call: typing.Callable[[typing.Any], typing.Awaitable[typing.Any]],
    ) -> typing.Any:
        """Call a host as `fleet_links.FleetLinks` does."""
        if host not in self.hosts or host == self.unreachable:
            raise errors.LinkError(f'{host} does not answer')
        remote = types.SimpleNamespace(reportUsage=_Remote(self.hosts[host]))
        return await call(remote)

    async def _serve(self, host: Host) -> None:
        work = test_broker.make_work(test_broker.READ)
        while True:
            true_time = EPOCH_SECONDS + CLOCK.now()
            self.sent[int(true_time // SETTINGS.window_seconds)] += 1
            await host.counter.counted(work, answer_with())
            await asyncio.sleep(STATEMENT_PAUSE_SECONDS)


class _Remote:
    """Serves `reportUsage` as `host_endpoint.HostEndpoint` does."""

    def __init__(self, host: Host) -> None:
        self._host = host

    async def __call__(
        self,
        *,
        caller: str,
        windows: list[dict[str, typing.Any]],
        recordedUntil: int,
        timeMs: int,
    ) -> typing.Any:
        structs = [
            types.SimpleNamespace(**{
                **each,
                'counts': [
                    types.SimpleNamespace(**count) for count in each['counts']
                ],
            })
            for each in windows
        ]
        call = sender.usage_messages.decode_call(
            caller, structs, recordedUntil, timeMs
        )
        reply = types.SimpleNamespace()
        sender.usage_messages.encode_reply(
            self._host.sender.accept(call), reply
        )
        return reply


async def answer_with(
    code: answers.Code = answers.Code.OK,
) -> answers.Answer:
    """Return the answer of a server."""
    await asyncio.sleep(0.005)
    return answers.Answer(code=code)


def make_work(**fields: typing.Any) -> work_module.Work:
    """Return a statement with other fields than usual."""
    return dataclasses.replace(
        test_broker.make_work(test_broker.READ), **fields
    )


async def run_for(seconds: float) -> None:
    """Let the fleet run."""
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.sleep(seconds)
