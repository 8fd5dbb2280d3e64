"""Measures how costs grow with size, as the basis of docs/CAPACITY.md.

Each printed line gives a cost at several sizes of one quantity, such as the
number of hosts, and the slope of the least-squares line through them.
"""

import asyncio
import os
import resource

import asyncmy

from measurements import host_state, linear_fit, overhead
from standins import fleet

PORT_OFFSET = 5000
OBSERVATION_SECONDS = 8.0
CALLER_COUNTS = (100, 300, 600, 1000)
AGENT_COUNTS = (3, 9, 18, 36)
STATEMENTS_PER_CALLER = (20, 60, 120, 240)
CLOCK_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
MICROSECONDS_PER_SECOND = 1_000_000
BYTES_PER_MEGABYTE = 1024 * 1024


def _cpu_seconds(process_id: int) -> float:
    with open(f'/proc/{process_id}/stat', encoding='ascii') as stat:
        fields = stat.read().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


async def measure_agents() -> None:
    """Measure CPU time and memory per idle agent at several fleet sizes."""
    cpu_shares = []
    resident = []
    for size in AGENT_COUNTS:
        deployment = fleet.Fleet(
            example='ausili-brambilla',
            port_offset=PORT_OFFSET,
        )
        try:
            cpu_share, used = await _measure_agent_count(deployment, size)
        finally:
            deployment.kill_all()
        cpu_shares.append(cpu_share)
        resident.append(used)
    linear_fit.report(
        'an idle agent', 'share of a core', AGENT_COUNTS, cpu_shares
    )
    linear_fit.report('an idle agent', 'MB resident', AGENT_COUNTS, resident)


async def _measure_agent_count(
    deployment: fleet.Fleet, size: int
) -> tuple[float, float]:
    deployment.start_only_agents(size)
    await deployment.wait_agents()
    await deployment.apply(expected=0)
    await asyncio.sleep(OBSERVATION_SECONDS / 2)
    names = [name for name in deployment.names() if name.endswith('/agent')]
    process_ids = [deployment.process_id(name) for name in names]
    before = sum(map(_cpu_seconds, process_ids))
    await asyncio.sleep(OBSERVATION_SECONDS)
    used = sum(map(_cpu_seconds, process_ids)) - before
    resident = (
        sum(map(overhead.resident_bytes, process_ids))
        / len(process_ids)
        / BYTES_PER_MEGABYTE
    )
    return used / OBSERVATION_SECONDS / len(process_ids), resident


async def measure_entry_and_pool() -> None:
    """Measure the entry and the pool when idle and under load.

    Prints the CPU time of idle pools and of statements, and the memory of
    the entry for idle callers.
    """
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
    process_ids = {
        host: deployment.process_id(f'{host}/pool') for host in owned
    }
    before = {host: _cpu_seconds(each) for host, each in process_ids.items()}
    await asyncio.sleep(OBSERVATION_SECONDS)
    cpu_shares = [
        (_cpu_seconds(process_ids[host]) - before[host]) / OBSERVATION_SECONDS
        for host in owned
    ]
    linear_fit.report(
        'an idle pool by databases',
        'share of a core',
        list(owned.values()),
        cpu_shares,
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
    counts = [size * len(callers) for size in STATEMENTS_PER_CALLER]
    for name in ('host-1/entry', f'{owner}/pool'):
        process_id = deployment.process_id(name)
        seconds = [
            await _cpu_of_reads(process_id, callers, size)
            for size in STATEMENTS_PER_CALLER
        ]
        linear_fit.report(f'{name.split("/")[1]}, reads', 's', counts, seconds)
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
    for size in CALLER_COUNTS:
        while len(idle) < size:
            idle.append(await overhead.connect(deployment))
        resident.append(float(overhead.resident_bytes(process_id)))
    linear_fit.report('entry by idle callers', 'bytes', CALLER_COUNTS, resident)
    for connection in idle:
        connection.close()


def main() -> None:
    """Run all measurements with as many open files as the system allows."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    host_state.measure_probe_bytes()
    host_state.measure_membership()
    host_state.measure_settings()
    host_state.measure_sessions()
    asyncio.run(measure_entry_and_pool())
    asyncio.run(measure_agents())


if __name__ == '__main__':
    main()
