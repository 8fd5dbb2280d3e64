"""Measures the latency and throughput cost of egretstep for a read.

The same client sends the same read directly to a stand-in server and through
an entry, in alternating rounds. In each round it first uses one connection
and then many at once. The results are the added median latency and the
ratio of the throughputs.
"""

import asyncio
import dataclasses
import statistics
import sys
import time

import asyncmy

from standins import fleet

PORT_OFFSET = 4000
ROUND_COUNT = 5
SEQUENTIAL_STATEMENTS = 300
PARALLEL_CALLERS = 16
STATEMENTS_PER_PARALLEL_CALLER = 60
IDLE_CALLER_COUNT = 400
BYTES_PER_KILOBYTE = 1024
READ_SQL = 'SELECT 1'


@dataclasses.dataclass(slots=True, kw_only=True)
class PathResults:
    """Results of each round on one path.

    `medians` are latencies in milliseconds, and `throughputs` are statements
    per second.
    """

    medians: list[float] = dataclasses.field(default_factory=list)
    throughputs: list[float] = dataclasses.field(default_factory=list)


async def main() -> int:
    """Run the measurement, print the results and return the exit code."""
    deployment = fleet.Fleet(
        example='ausili-brambilla',
        port_offset=PORT_OFFSET,
        change=raise_limits,
    )
    try:
        await deployment.start()
        direct = [
            await _connect_direct(deployment) for _ in range(PARALLEL_CALLERS)
        ]
        through = [await connect(deployment) for _ in range(PARALLEL_CALLERS)]
        path_results = {'direct': PathResults(), 'egretstep': PathResults()}
        for _ in range(ROUND_COUNT):
            await _run_round(direct, path_results['direct'])
            await _run_round(through, path_results['egretstep'])
        _report(path_results)
        await _report_memory(deployment)
    finally:
        deployment.kill_all()
    return 0


def raise_limits(document: dict) -> None:
    """Raise rate limits and pool sizes in a fleet document.

    The load is then limited only by the processors.
    """
    document['defaults']['rate'] = 100_000
    document['defaults']['burst'] = 100_000
    for workspace in document['workspaces'].values():
        workspace.pop('defaults', None)
    for database in document['databases'].values():
        database['slots'] = PARALLEL_CALLERS
        database['connections'] = 3 * PARALLEL_CALLERS


async def connect(deployment: fleet.Fleet) -> asyncmy.Connection:
    """Connect a caller through the entry of the first host."""
    host = deployment.hosts['host-1']
    return await asyncmy.connect(
        host=host.address,
        port=host.caller_port,
        user='depot-milano',
        password='key-of-depot-milano',
        database='loans',
        autocommit=True,
    )


async def _connect_direct(deployment: fleet.Fleet) -> asyncmy.Connection:
    status = next(
        database
        for status in await deployment.statuses()
        for database in status['databases']
        if database['database'] == 'loans'
    )
    servers = deployment.settings.databases['loans'].servers
    replica = next(name for name in servers if name != status['primary'])
    connection = await asyncmy.connect(
        host=servers[replica].address,
        port=servers[replica].port,
        user='egretstep',
        autocommit=None,
    )
    term, owner = status['term'], status['owner']
    async with connection.cursor() as cursor:
        await cursor.execute(f"CALL group_session({term}, '{owner}')")
    return connection


async def _run_round(
    connections: list[asyncmy.Connection],
    path_results: PathResults,
) -> None:
    latencies = await send(connections[0], SEQUENTIAL_STATEMENTS)
    path_results.medians.append(statistics.median(latencies) * 1000)
    started = time.monotonic()
    await asyncio.gather(
        *(send(each, STATEMENTS_PER_PARALLEL_CALLER) for each in connections),
    )
    duration = time.monotonic() - started
    path_results.throughputs.append(
        PARALLEL_CALLERS * STATEMENTS_PER_PARALLEL_CALLER / duration
    )


async def send(connection: asyncmy.Connection, count: int) -> list[float]:
    """Send reads one after another and return their latencies in seconds."""
    latencies = []
    async with connection.cursor() as cursor:
        for _ in range(count):
            started = time.monotonic()
            await cursor.execute(READ_SQL)
            latencies.append(time.monotonic() - started)
    return latencies


def _report(path_results: dict[str, PathResults]) -> None:
    for name, each in path_results.items():
        sys.stdout.write(
            f'{name}: median {statistics.median(each.medians):.3f} ms, '
            f'{PARALLEL_CALLERS} callers '
            f'{statistics.median(each.throughputs):.0f} statements/s\n',
        )
    pairs = zip(
        path_results['egretstep'].throughputs,
        path_results['direct'].throughputs,
        strict=True,
    )
    ratio = statistics.median(through / direct for through, direct in pairs)
    added = statistics.median(path_results['egretstep'].medians) - (
        statistics.median(path_results['direct'].medians)
    )
    sys.stdout.write(f'added median latency: {added:.3f} ms (aim: below 1)\n')
    sys.stdout.write(f'throughput ratio: {ratio:.3f} (aim: above 0.333)\n')


async def _report_memory(deployment: fleet.Fleet) -> None:
    bytes_before = resident_bytes(deployment.process_id('host-1/entry'))
    idle_callers = [await connect(deployment) for _ in range(IDLE_CALLER_COUNT)]
    bytes_after = resident_bytes(deployment.process_id('host-1/entry'))
    each = (bytes_after - bytes_before) / IDLE_CALLER_COUNT / BYTES_PER_KILOBYTE
    sys.stdout.write(f'an idle caller: {each:.1f} KB (aim: below 30)\n')
    for connection in idle_callers:
        connection.close()


def resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process, with pages of 4 KiB."""
    with open(f'/proc/{process_id}/statm', encoding='ascii') as statm:
        pages = int(statm.read().split()[1])
    return pages * 4 * BYTES_PER_KILOBYTE


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
