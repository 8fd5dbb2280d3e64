import asyncio
import typing
import unittest
import unittest.mock

from egretstep import clock, identifiers
from egretstep.pooling import read_planner
from egretstep.settings import schema

PRIMARY = identifiers.ServerName('p')
REPLICA = identifiers.ServerName('r')
FLOOR = identifiers.LogPosition(term=1, offset=9)
WAIT_MS = 10


def make_read_planner(
    server_connections: typing.Any,
) -> read_planner.ReadPlanner:
    group = unittest.mock.MagicMock()
    group.floors.floor.return_value = FLOOR
    group.staleness.age_bound.return_value = 0
    group.monitors = []
    for name in (PRIMARY, REPLICA):
        watched = unittest.mock.MagicMock(applied=identifiers.LOG_START)
        watched.name = name
        group.monitors.append(watched)
    pool = unittest.mock.MagicMock(connections=server_connections)
    pool.queue.load = 0
    return read_planner.ReadPlanner(
        database_group=group,
        pools=typing.cast(typing.Any, {PRIMARY: pool, REPLICA: pool}),
        zone_of=lambda _server: identifiers.ZoneName('z'),
        is_zone_in=lambda _zone: True,
        time_source=clock.MonotonicClock(),
    )


class ReadPlannerTest(unittest.IsolatedAsyncioTestCase):
    async def test_read_falls_back_to_the_primary_without_a_connection(
        self,
    ) -> None:
        server_connections = unittest.mock.MagicMock(free_count=1)
        server_connections.acquire = lambda _term: asyncio.Event().wait()
        job = unittest.mock.MagicMock(deadline=clock.MonotonicClock().now() + 9)
        job.effective.read_policy = schema.ReadPolicy.SESSION
        job.effective.replica_wait_ms = WAIT_MS
        job.request.max_staleness_ms = None
        tenure = unittest.mock.MagicMock(primary=PRIMARY)
        async with asyncio.timeout(1):
            server = await make_read_planner(server_connections).choose(
                job, tenure
            )
        self.assertEqual(server, PRIMARY)
