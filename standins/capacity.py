"""Measures the slopes that docs/CAPACITY.md is worked out from.

Each line gives a figure at several sizes of one quantity, and the least
squares slope between them.
"""

import asyncio
import dataclasses
import functools
import gc
import os
import resource
import statistics
import sys
import time
import tracemalloc
import typing

import asyncmy

from egretstep import clock, identifiers
from egretstep.membership import members, ownership, ranking
from egretstep.peers import schema as peers_schema
from egretstep.replication import floors
from egretstep.settings import records, schema
from standins import fleet, overhead

PORT_OFFSET = 5000
WATCH_SECONDS = 8.0
HOST_SIZES = (50, 200, 700, 1400)
DATABASE_SIZES = (50, 200, 800, 2300)
CALLER_SIZES = (100, 300, 600, 1000)
AGENT_SIZES = (3, 9, 18, 36)
STATEMENT_SIZES = (20, 60, 120, 240)
SESSION_SIZES = (1000, 5000, 20_000, 80_000)
MOST_HOSTS = 5000
TICKS = os.sysconf('SC_CLK_TCK')
MEGABYTE = 1024 * 1024
MICROSECONDS = 1_000_000


def report(
    name: str,
    unit: str,
    sizes: typing.Sequence[float],
    figures: typing.Sequence[float],
) -> None:
    """Print figures at several sizes, and the line through them."""
    slope, base = statistics.linear_regression(sizes, figures)
    shown = ', '.join(
        f'{size:g}: {figure:.4g}'
        for size, figure in zip(sizes, figures, strict=True)
    )
    sys.stdout.write(
        f'{name} [{unit}]: {shown}; base {base:.4g}, slope {slope:.4g}\n',
    )
    sys.stdout.flush()


def _member(number: int) -> members.Member:
    return members.Member(
        host=identifiers.HostName(f'host-{number:04d}'),
        zone=identifiers.ZoneName(f'zone-{number % 16}'),
        address='127.0.0.1',
        agent_port=1,
        pool_port=2,
        pool=members.PoolState.UP,
    )


def _fleet_settings(databases: int) -> schema.FleetSettings:
    server = {'zone': 'zone-0', 'address': '127.0.0.1', 'port': 3306}
    return schema.FleetSettings.model_validate({
        'zones': {f'zone-{number}': {} for number in range(16)},
        'databases': {
            f'db-{number:04d}': {
                'servers': {f's-{number}-{part}': server for part in 'abc'},
            }
            for number in range(databases)
        },
        'workspaces': {
            f'workspace-{number:04d}': {
                'databases': [f'db-{number % databases:04d}'],
                'keys': {'first': {'digest': '0' * 40}},
            }
            for number in range(3 * databases)
        },
    })


def _timed(action: typing.Callable[[], object]) -> float:
    started = time.process_time()
    action()
    return time.process_time() - started


def _memory(action: typing.Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = action()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return used


@dataclasses.dataclass(slots=True)
class MembershipFigures:
    """Figures of the table of hosts and of ownership, one for each size."""

    table_bytes: list[float] = dataclasses.field(default_factory=list)
    probe: list[float] = dataclasses.field(default_factory=list)
    view: list[float] = dataclasses.field(default_factory=list)
    first: list[float] = dataclasses.field(default_factory=list)
    join: list[float] = dataclasses.field(default_factory=list)
    leave: list[float] = dataclasses.field(default_factory=list)


def measure_membership() -> None:
    """Cost of the table of hosts and of ownership."""
    figures = MembershipFigures()
    for size in HOST_SIZES:
        hosts = [_member(number) for number in range(size)]
        _measure_hosts(hosts, figures)
        _measure_owners(hosts, figures)
    report('table of hosts', 'bytes', HOST_SIZES, figures.table_bytes)
    report('choice of probe targets', 's', HOST_SIZES, figures.probe)
    report('encoding a view of the hosts', 's', HOST_SIZES, figures.view)
    report('owners of 2,300 databases, first', 's', HOST_SIZES, figures.first)
    report('the same, a host joins', 's', HOST_SIZES, figures.join)
    report('the same, a host leaves', 's', HOST_SIZES, figures.leave)


def _measure_hosts(
    hosts: list[members.Member],
    figures: MembershipFigures,
) -> None:
    own = hosts[0].host
    figures.table_bytes.append(_memory(lambda: _table(hosts)))
    figures.probe.append(
        _timed(lambda: ranking.probe_targets(own=own, hosts=hosts)),
    )
    figures.view.append(_timed(lambda: _encode_view(hosts)))


def _measure_owners(
    hosts: list[members.Member],
    figures: MembershipFigures,
) -> None:
    fleet_settings = _fleet_settings(1)
    owners = ownership.OwnershipTable()
    owners.update(hosts=hosts, fleet=fleet_settings)
    figures.first.append(_timed(lambda: _look_up(owners)))
    joined = [*hosts, _member(MOST_HOSTS)]
    figures.join.append(
        _timed(lambda: owners.update(hosts=joined, fleet=fleet_settings)),
    )
    figures.leave.append(
        _timed(lambda: _leave(owners, hosts, fleet_settings)),
    )


def _look_up(owners: ownership.OwnershipTable) -> None:
    for number in range(DATABASE_SIZES[-1]):
        owners.owner(identifiers.DatabaseName(f'db-{number:04d}'))


def _table(hosts: list[members.Member]) -> members.MemberTable:
    table = members.MemberTable(
        own=hosts[0],
        time_source=clock.MonotonicClock(),
    )
    for host in hosts:
        table.merge(
            members.Member(**{
                name: getattr(host, name) for name in host.__slots__
            }),
        )
    return table


def _leave(
    owners: ownership.OwnershipTable,
    hosts: list[members.Member],
    fleet_settings: schema.FleetSettings,
) -> None:
    owners.update(hosts=hosts[1:], fleet=fleet_settings)
    _look_up(owners)


def _encode_view(hosts: list[members.Member]) -> bytes:
    view = peers_schema.HostView.new_message()
    view.members = [members.to_message(host) for host in hosts]
    return view.to_bytes()


def measure_settings() -> None:
    """Cost of one change of settings on a host."""
    records_read = [_encode_record(size) for size in DATABASE_SIZES]
    sizes = [float(len(data)) for data in records_read]
    seconds = [_timed(functools.partial(_read, data)) for data in records_read]
    heap = [
        _memory(functools.partial(_fleet_settings, size))
        for size in DATABASE_SIZES
    ]
    report('record of settings', 'bytes', DATABASE_SIZES, sizes)
    report('reading a record', 's', DATABASE_SIZES, seconds)
    report('settings in memory', 'bytes', DATABASE_SIZES, heap)


def _encode_record(databases: int) -> bytes:
    fleet_settings = _fleet_settings(databases)
    return records.encode(
        records.Record(
            version=1,
            change_id='x',
            text='',
            document=fleet_settings.model_dump_json(exclude_defaults=True),
        ),
    )


def _read(data: bytes) -> schema.FleetSettings:
    return records.decode(data).fleet()


def measure_sessions() -> None:
    """Memory of the floors of sessions with a stated id."""
    used = [_memory(functools.partial(_floors, size)) for size in SESSION_SIZES]
    report('floors of sessions', 'bytes', SESSION_SIZES, used)


def _floors(size: int) -> floors.SessionFloors:
    known = floors.SessionFloors()
    for number in range(size):
        known.acknowledge(
            session_id=identifiers.SessionId(f'workspace/till-{number}'),
            position=identifiers.LogPosition(term=1, offset=number),
        )
    return known


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
    report('an idle agent', 'share of a core', AGENT_SIZES, shares)
    report('an idle agent', 'MB resident', AGENT_SIZES, resident)


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
    report(
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
        report(f'{name.split("/")[1]}, reads', 's', counts, seconds)
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
    report('entry by idle callers', 'bytes', CALLER_SIZES, resident)
    for connection in idle:
        connection.close()


def measure_probe_bytes() -> None:
    """Size of a probe's message, without the transport's own bytes."""
    updates = (0, 2, 4, 8)
    sizes = []
    for count in updates:
        message = peers_schema.Gossip.new_message()
        message.sender = members.to_message(_member(1))
        message.updates = [
            members.to_message(_member(number)) for number in range(count)
        ]
        sizes.append(float(len(message.to_bytes())))
    report('a probe by reports in it', 'bytes', updates, sizes)


def main() -> None:
    """Run all measurements."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    measure_probe_bytes()
    measure_membership()
    measure_settings()
    measure_sessions()
    asyncio.run(measure_path())
    asyncio.run(measure_agents())


if __name__ == '__main__':
    main()
