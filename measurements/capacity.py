"""Measures the slopes that docs/CAPACITY.md is worked out from.

Each line gives a figure at several sizes of one quantity, and the least
squares slope between them.
"""

import asyncio
import os
import resource

import asyncmy

from measurements import overhead, slopes, tables
from standins import fleet

PORT_OFFSET = 5000
WATCH_SECONDS = 8.0
CALLER_SIZES = (100, 300, 600, 1000)
AGENT_SIZES = (3, 9, 18, 36)
STATEMENT_SIZES = (20, 60, 120, 240)
TICKS = os.sysconf('SC_CLK_TCK')
MICROSECONDS = 1_000_000
MEGABYTE = 1024 * 1024


def _cpu_seconds(process_id: int) -> float:
    with open(f'/proc/{process_id}/stat', encoding='ascii') as stat:
        fields = stat.read().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def measure_agents() -> None:
    """Processor time and memory of real agents as hosts grow."""
    shares = []
    resident = []
    for size in AGENT_SIZES:
        deployment = fleet.Fleet(
            example='ausili-brambilla',
            port_offset=PORT_OFFSET,
        )
        try:
            share, used = await _agents(deployment, size)
        finally:
            deployment.kill_all()
        shares.append(share)
        resident.append(used)
    slopes.report('an idle agent', 'share of a core', AGENT_SIZES, shares)
    slopes.report('an idle agent', 'MB resident', AGENT_SIZES, resident)


async def _agents(deployment: fleet.Fleet, size: int) -> tuple[float, float]:
    deployment.start_only_agents(size)
    await deployment.wait_agents()
    await deployment.apply(expected=0)
    await asyncio.sleep(WATCH_SECONDS / 2)
    names = [name for name in deployment.names() if name.endswith('/agent')]
    ids = [deployment.process_id(name) for name in names]
    before = sum(map(_cpu_seconds, ids))
    await asyncio.sleep(WATCH_SECONDS)
    used = sum(map(_cpu_seconds, ids)) - before
    resident = sum(map(overhead.resident_bytes, ids)) / len(ids) / MEGABYTE
    return used / WATCH_SECONDS / len(ids), resident


async def measure_path() -> None:
    """Processor time of entry and pool for statements and idle callers."""
    deployment = fleet.Fleet(
        example='ausili-brambilla',
        port_offset=PORT_OFFSET,
        change=overhead.raise_limits,
    )
    try:
        await deployment.start()
        await _measure_idle_pools(deployment)
        await _measure_statements(deployment)
        await _measure_callers(deployment)
    finally:
        deployment.kill_all()


async def _measure_idle_pools(deployment: fleet.Fleet) -> None:
    owned = {status['host']: 0 for status in await deployment.statuses()}
    for status in await deployment.statuses():
        owned[status['host']] = len(status['databases'])
    ids = {host: deployment.process_id(f'{host}/pool') for host in owned}
    before = {host: _cpu_seconds(each) for host, each in ids.items()}
    await asyncio.sleep(WATCH_SECONDS)
    shares = [
        (_cpu_seconds(ids[host]) - before[host]) / WATCH_SECONDS
        for host in owned
    ]
    slopes.report(
        'an idle pool by databases',
        'share of a core',
        list(owned.values()),
        shares,
    )


async def _measure_statements(deployment: fleet.Fleet) -> None:
    callers = [await overhead.connect(deployment) for _ in range(16)]
    status = await deployment.statuses()
    owner = next(
        entry['owner']
        for each in status
        for entry in each['databases']
        if entry['database'] == 'loans'
    )
    counts = [size * len(callers) for size in STATEMENT_SIZES]
    for name in ('host-1/entry', f'{owner}/pool'):
        process_id = deployment.process_id(name)
        seconds = [
            await _cpu_of_reads(process_id, callers, size)
            for size in STATEMENT_SIZES
        ]
        slopes.report(f'{name.split("/")[1]}, reads', 's', counts, seconds)
    for caller in callers:
        caller.close()


async def _cpu_of_reads(
    process_id: int,
    callers: list[asyncmy.Connection],
    count: int,
) -> float:
    before = _cpu_seconds(process_id)
    await asyncio.gather(*(overhead.send(each, count) for each in callers))
    return _cpu_seconds(process_id) - before


async def _measure_callers(deployment: fleet.Fleet) -> None:
    process_id = deployment.process_id('host-1/entry')
    idle: list[asyncmy.Connection] = []
    resident = []
    for size in CALLER_SIZES:
        while len(idle) < size:
            idle.append(await overhead.connect(deployment))
        resident.append(float(overhead.resident_bytes(process_id)))
    slopes.report('entry by idle callers', 'bytes', CALLER_SIZES, resident)
    for connection in idle:
        connection.close()


def main() -> None:
    """Run all measurements."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    tables.measure_probe_bytes()
    tables.measure_membership()
    tables.measure_settings()
    tables.measure_sessions()
    asyncio.run(measure_path())
    asyncio.run(measure_agents())


if __name__ == '__main__':
    main()
