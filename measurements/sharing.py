"""Compares ways to share one database server between the hosts.

A server with a few slots is modelled by a semaphore and a service time; the
queues are the product's own. `one owner` has one fair queue for the whole
fleet, `shares` gives each host a queue and an equal part of the slots in
turns, and `each for itself` lets every host send at once, so that the
server's own first-come queue decides.
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
SMALL_PAUSE_SECONDS = 0.03
LARGE = identifiers.WorkspaceName('large')
SMALL = identifiers.WorkspaceName('small')
FAR_DEADLINE = 1e9


class Sharing(typing.Protocol):
    """A way to share the slots of one server."""

    async def run(
        self,
        host: int,
        workspace: identifiers.WorkspaceName,
    ) -> None:
        """Run one statement that came to a host."""

    def connections(self) -> int:
        """Return how many connections the server must allow."""


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
        """Wait for a slot of the fleet."""
        async with self._queue.slot(
            workspace=workspace,
            weight=1,
            deadline=FAR_DEADLINE,
        ):
            await asyncio.sleep(SERVICE_SECONDS)

    def connections(self) -> int:
        """Return one for each slot."""
        return SLOTS


class Shares:
    """A fair queue for each host; a third of the hosts has each slot."""

    def __init__(self) -> None:
        self._queues = [_queue(1) for _ in range(HOSTS)]
        self._slots = [asyncio.Semaphore(1) for _ in range(SLOTS)]

    async def run(
        self,
        host: int,
        workspace: identifiers.WorkspaceName,
    ) -> None:
        """Wait for the host's turn on its own slot."""
        async with (
            self._queues[host].slot(
                workspace=workspace,
                weight=1,
                deadline=FAR_DEADLINE,
            ),
            self._slots[host % SLOTS],
        ):
            await asyncio.sleep(SERVICE_SECONDS)

    def connections(self) -> int:
        """Return one for each host."""
        return HOSTS


class EachForItself:
    """Every host sends at once; the server's queue is first come."""

    def __init__(self) -> None:
        self._slots = asyncio.Semaphore(SLOTS)
        self._open = 0
        self._most = 0

    async def run(
        self,
        host: int,
        workspace: identifiers.WorkspaceName,
    ) -> None:
        """Wait at the server."""
        self._open += 1
        self._most = max(self._most, self._open)
        try:
            async with self._slots:
                await asyncio.sleep(SERVICE_SECONDS)
        finally:
            self._open -= 1

    def connections(self) -> int:
        """Return the most that were open at once."""
        return self._most


@dataclasses.dataclass(slots=True)
class Figures:
    """What both workspaces saw."""

    large: measures.GroupMeasures = dataclasses.field(
        default_factory=measures.GroupMeasures,
    )
    small: measures.GroupMeasures = dataclasses.field(
        default_factory=measures.GroupMeasures,
    )


async def _call(
    sharing: Sharing,
    host: int,
    workspace: identifiers.WorkspaceName,
    seen: measures.GroupMeasures,
    pause: float,
) -> None:
    deadline = time.monotonic() + RUN_SECONDS
    while time.monotonic() < deadline:
        started = time.monotonic()
        await sharing.run(host, workspace)
        now = time.monotonic()
        seen.success(now=now, seconds=now - started)
        await asyncio.sleep(pause)


async def _measure(sharing: Sharing, large_hosts: int) -> Figures:
    figures = Figures()
    large = [
        _call(sharing, number % large_hosts, LARGE, figures.large, 0)
        for number in range(LARGE_CALLERS)
    ]
    small = [
        _call(sharing, 0, SMALL, figures.small, SMALL_PAUSE_SECONDS)
        for _ in range(SMALL_CALLERS)
    ]
    await asyncio.gather(*large, *small)
    return figures


async def main() -> None:
    """Print a line for each way and each spread of the callers."""
    for name, large_hosts in (('all hosts', HOSTS), ('one host', 1)):
        for make in (OneOwner, Shares, EachForItself):
            sharing = make()
            figures = await _measure(sharing, large_hosts)
            total = figures.large.latencies.count / RUN_SECONDS
            p99 = figures.small.latencies.percentile_ms(99)
            sys.stdout.write(
                f'{make.__name__}, large workspace on {name}: '
                f'{total:.0f} statements/s, small workspace p99 {p99:.0f} ms, '
                f'{sharing.connections()} connections\n',
            )


if __name__ == '__main__':
    asyncio.run(main())
