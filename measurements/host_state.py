"""Measures the cost of the tables that a host keeps, as the fleet grows.

The tables hold the hosts, the owners of databases, the settings and the
sessions.
"""

import dataclasses
import functools
import gc
import time
import tracemalloc
import typing

from egretstep import clock, identifiers
from egretstep.membership import members, ownership, ranking
from egretstep.peers import schema as peers_schema
from egretstep.replication import floors
from egretstep.settings import records, schema
from measurements import linear_fit

HOST_SIZES = (50, 200, 700, 1400)
DATABASE_SIZES = (50, 200, 800, 2300)
SESSION_SIZES = (1000, 5000, 20_000, 80_000)
JOINING_HOST_NUMBER = 5000
BYTES_PER_MEGABYTE = 1024 * 1024
MICROSECONDS_PER_SECOND = 1_000_000


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


def _cpu_seconds(action: typing.Callable[[], object]) -> float:
    started = time.process_time()
    action()
    return time.process_time() - started


def _memory_bytes(action: typing.Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    measured_object = action()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del measured_object
    return used_bytes


@dataclasses.dataclass(slots=True)
class MembershipCosts:
    """Costs of the member table and of ownership, one for each fleet size.

    `table_bytes` is memory in bytes; the others are CPU times in seconds.
    `probe` is the choice of the hosts to probe, `view` the encoding of all
    hosts as a message, and `first` the first look-up of the owners of 2,300
    databases. `join` is the update of the owners after a host has joined.
    `leave` is the update after one has left, with another look-up.
    """

    table_bytes: list[float] = dataclasses.field(default_factory=list)
    probe: list[float] = dataclasses.field(default_factory=list)
    view: list[float] = dataclasses.field(default_factory=list)
    first: list[float] = dataclasses.field(default_factory=list)
    join: list[float] = dataclasses.field(default_factory=list)
    leave: list[float] = dataclasses.field(default_factory=list)


def measure_membership() -> None:
    """Measure the member table and the ownership of databases."""
    costs = MembershipCosts()
    for size in HOST_SIZES:
        hosts = [_member(number) for number in range(size)]
        _measure_hosts(hosts, costs)
        _measure_owners(hosts, costs)
    linear_fit.report('table of hosts', 'bytes', HOST_SIZES, costs.table_bytes)
    linear_fit.report('choice of probe targets', 's', HOST_SIZES, costs.probe)
    linear_fit.report(
        'encoding a view of the hosts', 's', HOST_SIZES, costs.view
    )
    linear_fit.report(
        'owners of 2,300 databases, first', 's', HOST_SIZES, costs.first
    )
    linear_fit.report('the same, a host joins', 's', HOST_SIZES, costs.join)
    linear_fit.report('the same, a host leaves', 's', HOST_SIZES, costs.leave)


def _measure_hosts(
    hosts: list[members.Member],
    costs: MembershipCosts,
) -> None:
    own = hosts[0].host
    costs.table_bytes.append(_memory_bytes(lambda: _make_table(hosts)))
    costs.probe.append(
        _cpu_seconds(lambda: ranking.probe_targets(own=own, hosts=hosts)),
    )
    costs.view.append(_cpu_seconds(lambda: _encode_view(hosts)))


def _measure_owners(
    hosts: list[members.Member],
    costs: MembershipCosts,
) -> None:
    fleet_settings = _fleet_settings(1)
    owners = ownership.OwnershipTable()
    owners.update(hosts=hosts, fleet=fleet_settings)
    costs.first.append(_cpu_seconds(lambda: _look_up(owners)))
    joined = [*hosts, _member(JOINING_HOST_NUMBER)]
    costs.join.append(
        _cpu_seconds(lambda: owners.update(hosts=joined, fleet=fleet_settings)),
    )
    costs.leave.append(
        _cpu_seconds(lambda: _remove_first_host(owners, hosts, fleet_settings)),
    )


def _look_up(owners: ownership.OwnershipTable) -> None:
    for number in range(DATABASE_SIZES[-1]):
        owners.owner(identifiers.DatabaseName(f'db-{number:04d}'))


def _make_table(hosts: list[members.Member]) -> members.MemberTable:
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


def _remove_first_host(
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
    """Measure what a host spends on reading and keeping new settings."""
    encoded_records = [_encode_record(size) for size in DATABASE_SIZES]
    sizes = [float(len(data)) for data in encoded_records]
    seconds = [
        _cpu_seconds(functools.partial(_read_record, data))
        for data in encoded_records
    ]
    heap = [
        _memory_bytes(functools.partial(_fleet_settings, size))
        for size in DATABASE_SIZES
    ]
    linear_fit.report('record of settings', 'bytes', DATABASE_SIZES, sizes)
    linear_fit.report('reading a record', 's', DATABASE_SIZES, seconds)
    linear_fit.report('settings in memory', 'bytes', DATABASE_SIZES, heap)


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


def _read_record(data: bytes) -> schema.FleetSettings:
    return records.decode(data).fleet()


def measure_sessions() -> None:
    """Measure the memory of the floors of sessions that state their id."""
    used_bytes = [
        _memory_bytes(functools.partial(_make_floors, size))
        for size in SESSION_SIZES
    ]
    linear_fit.report('floors of sessions', 'bytes', SESSION_SIZES, used_bytes)


def _make_floors(size: int) -> floors.SessionFloors:
    session_floors = floors.SessionFloors()
    for number in range(size):
        session_floors.acknowledge(
            session_id=identifiers.SessionId(f'workspace/till-{number}'),
            position=identifiers.LogPosition(term=1, offset=number),
        )
    return session_floors


def measure_probe_bytes() -> None:
    """Measure the size of a probe message, without the transport's headers."""
    updates = (0, 2, 4, 8)
    sizes = []
    for count in updates:
        message = peers_schema.Gossip.new_message()
        message.sender = members.to_message(_member(1))
        message.updates = [
            members.to_message(_member(number)) for number in range(count)
        ]
        sizes.append(float(len(message.to_bytes())))
    linear_fit.report('a probe by reports in it', 'bytes', updates, sizes)
