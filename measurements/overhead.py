"""Measures what egretstep adds to a statement, as ratios in one run.

The same client sends the same read to a stand-in server and through an
entry, in turns, first one at a time and then many at once.
"""

import asyncio
import dataclasses
import statistics
import sys
import time

import asyncmy

from standins import fleet

PORT_OFFSET = 4000
ROUNDS = 5
SINGLE_STATEMENTS = 300
PARALLEL = 16
PARALLEL_STATEMENTS = 60
IDLE_CALLERS = 400
KILOBYTE = 1024
SQL = 'SELECT 1'


@dataclasses.dataclass(slots=True, kw_only=True)
class Figures:
    """Medians in milliseconds and throughputs in statements a second."""

    medians: list[float] = dataclasses.field(default_factory=list)
    throughputs: list[float] = dataclasses.field(default_factory=list)


async def main() -> int:
    """Run the measurement and print it."""
    deployment = fleet.Fleet(
        example='ausili-brambilla',
        port_offset=PORT_OFFSET,
        change=raise_limits,
    )
    try:
        await deployment.start()
        direct = [await _connect_direct(deployment) for _ in range(PARALLEL)]
        through = [await connect(deployment) for _ in range(PARALLEL)]
        figures = {'direct': Figures(), 'egretstep': Figures()}
        for _ in range(ROUNDS):
            await _round(direct, figures['direct'])
            await _round(through, figures['egretstep'])
        _report(figures)
        await _report_memory(deployment)
    finally:
        deployment.kill_all()
    return 0


def raise_limits(document: dict) -> None:
    """Let nothing but the processors bound the load."""
    document['defaults']['rate'] = 100_000
    document['defaults']['burst'] = 100_000
    for workspace in document['workspaces'].values():
        workspace.pop('defaults', None)
    for database in document['databases'].values():
        database['slots'] = PARALLEL
        database['connections'] = 3 * PARALLEL


async def connect(deployment: fleet.Fleet) -> asyncmy.Connection:
    """Connect a caller to the first host."""
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


async def _round(
    connections: list[asyncmy.Connection],
    figures: Figures,
) -> None:
    latencies = await send(connections[0], SINGLE_STATEMENTS)
    figures.medians.append(statistics.median(latencies) * 1000)
    started = time.monotonic()
    await asyncio.gather(
        *(send(each, PARALLEL_STATEMENTS) for each in connections),
    )
    took = time.monotonic() - started
    figures.throughputs.append(PARALLEL * PARALLEL_STATEMENTS / took)


async def send(connection: asyncmy.Connection, count: int) -> list[float]:
    """Send reads one after the other and return their latencies."""
    latencies = []
    async with connection.cursor() as cursor:
        for _ in range(count):
            started = time.monotonic()
            await cursor.execute(SQL)
            latencies.append(time.monotonic() - started)
    return latencies


def _report(figures: dict[str, Figures]) -> None:
    for name, each in figures.items():
        sys.stdout.write(
            f'{name}: median {statistics.median(each.medians):.3f} ms, '
            f'{PARALLEL} callers {statistics.median(each.throughputs):.0f} '
            'statements/s\n',
        )
    pairs = zip(
        figures['egretstep'].throughputs,
        figures['direct'].throughputs,
        strict=True,
    )
    ratio = statistics.median(through / direct for through, direct in pairs)
    added = statistics.median(figures['egretstep'].medians) - (
        statistics.median(figures['direct'].medians)
    )
    sys.stdout.write(f'added median latency: {added:.3f} ms (aim: below 1)\n')
    sys.stdout.write(f'throughput ratio: {ratio:.3f} (aim: above 0.333)\n')


async def _report_memory(deployment: fleet.Fleet) -> None:
    before = resident_bytes(deployment.process_id('host-1/entry'))
    idle = [await connect(deployment) for _ in range(IDLE_CALLERS)]
    after = resident_bytes(deployment.process_id('host-1/entry'))
    each = (after - before) / IDLE_CALLERS / KILOBYTE
    sys.stdout.write(f'an idle caller: {each:.1f} KB (aim: below 30)\n')
    for connection in idle:
        connection.close()


def resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process."""
    with open(f'/proc/{process_id}/statm', encoding='ascii') as statm:
        pages = int(statm.read().split()[1])
    return pages * 4 * KILOBYTE


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
