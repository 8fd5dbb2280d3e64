"""Compares ways to share one database server between the hosts.

A server with a few slots is modelled by a semaphore and a service time; the
queues are those of egretstep. `OneOwner` has one fair queue for the whole
fleet. `Shares` gives each host a fair queue of its own, and the hosts that
share a slot of the server use it in turn. `EachForItself` lets every host
send at once, so that the first-come, first-served queue of the server
decides.
"""

import asyncio
import dataclasses
import sys
import time
import typing

from egretstep import clock, identifiers
from egretstep.bench import measures
from egretstep.pooling import fair_queue, queueing

HOSTS = 9
SLOTS = 3
SERVICE_SECONDS = 0.01
RUN_SECONDS = 3.0
LARGE_CALLERS = 60
SMALL_CALLERS = 1
SMALL_CALLER_PAUSE_SECONDS = 0.03
LARGE = identifiers.WorkspaceName('large')
SMALL = identifiers.WorkspaceName('small')
DISTANT_DEADLINE_SECONDS = 1e9


class Sharing(typing.Protocol):
    """A way in which hosts share the slots of one server."""

    async def run(
        self,
        host: int,
        workspace: identifiers.WorkspaceName,
    ) -> None:
        """Run one statement that a host received from a workspace."""

    def connections(self) -> int:
        """Return the number of connections that the server must allow."""


def _queue(slots: int) -> fair_queue.FairQueue:
    return fair_queue.FairQueue(
        slots=slots,
        time_source=clock.MonotonicClock(),
        policy=queueing.QueuePolicy.FAIR,
    )


class OneOwner:
    """One fair queue for all hosts."""

    def __init__(self) -> None:
        self._queue = _queue(SLOTS)

    async def run(
        self,
        host: int,
        workspace: identifiers.WorkspaceName,
    ) -> None:
        """Run one statement in a slot of the fleet's queue."""
        async with self._queue.slot(
            workspace=workspace,
            weight=1,
            deadline=DISTANT_DEADLINE_SECONDS,
        ):
            await asyncio.sleep(SERVICE_SECONDS)

    def connections(self) -> int:
        """Return the number of slots, as each uses one connection."""
        return SLOTS


class Shares:
    """One fair queue for each host; hosts are assigned to slots in turn."""

    def __init__(self) -> None:
        self._queues = [_queue(1) for _ in range(HOSTS)]
        self._slots = [asyncio.Semaphore(1) for _ in range(SLOTS)]

    async def run(
        self,
        host: int,
        workspace: identifiers.WorkspaceName,
    ) -> None:
        """Run one statement in the slot that is assigned to the host."""
        async with (
            self._queues[host].slot(
                workspace=workspace,
                weight=1,
                deadline=DISTANT_DEADLINE_SECONDS,
            ),
            self._slots[host % SLOTS],
        ):
            await asyncio.sleep(SERVICE_SECONDS)

    def connections(self) -> int:
        """Return the number of hosts, as each uses one connection."""
        return HOSTS


class EachForItself:
    """No queue on the hosts; the server's queue is first come, first served."""

    def __init__(self) -> None:
        self._slots = asyncio.Semaphore(SLOTS)
        self._open_count = 0
        self._max_open_count = 0

    async def run(
        self,
        host: int,
        workspace: identifiers.WorkspaceName,
    ) -> None:
        """Run one statement that waits at the server for a slot."""
        self._open_count += 1
        self._max_open_count = max(self._max_open_count, self._open_count)
        try:
            async with self._slots:
                await asyncio.sleep(SERVICE_SECONDS)
        finally:
            self._open_count -= 1

    def connections(self) -> int:
        """Return the highest number of statements at the server at a time."""
        return self._max_open_count


@dataclasses.dataclass(slots=True)
class WorkspaceStatistics:
    """Latencies and outcomes of the large and the small workspace."""

    large: measures.GroupStatistics = dataclasses.field(
        default_factory=measures.GroupStatistics,
    )
    small: measures.GroupStatistics = dataclasses.field(
        default_factory=measures.GroupStatistics,
    )


async def _send_statements(
    sharing: Sharing,
    host: int,
    workspace: identifiers.WorkspaceName,
    group_statistics: measures.GroupStatistics,
    pause_seconds: float,
) -> None:
    deadline = time.monotonic() + RUN_SECONDS
    while time.monotonic() < deadline:
        started = time.monotonic()
        await sharing.run(host, workspace)
        now = time.monotonic()
        group_statistics.record_success(now=now, seconds=now - started)
        await asyncio.sleep(pause_seconds)


async def _measure(sharing: Sharing, large_hosts: int) -> WorkspaceStatistics:
    workspace_statistics = WorkspaceStatistics()
    large = [
        _send_statements(
            sharing, number % large_hosts, LARGE, workspace_statistics.large, 0
        )
        for number in range(LARGE_CALLERS)
    ]
    small = [
        _send_statements(
            sharing,
            0,
            SMALL,
            workspace_statistics.small,
            SMALL_CALLER_PAUSE_SECONDS,
        )
        for _ in range(SMALL_CALLERS)
    ]
    await asyncio.gather(*large, *small)
    return workspace_statistics


async def main() -> None:
    """Print a line for each way to share and each placement of callers."""
    for name, large_hosts in (('all hosts', HOSTS), ('one host', 1)):
        for sharing_class in (OneOwner, Shares, EachForItself):
            sharing = sharing_class()
            workspace_statistics = await _measure(sharing, large_hosts)
            total = workspace_statistics.large.latencies.count / RUN_SECONDS
            p99 = workspace_statistics.small.latencies.percentile_ms(99)
            sys.stdout.write(
                f'{sharing_class.__name__}, large workspace on {name}: '
                f'{total:.0f} statements/s, small workspace p99 {p99:.0f} ms, '
                f'{sharing.connections()} connections\n',
            )


if __name__ == '__main__':
    asyncio.run(main())
