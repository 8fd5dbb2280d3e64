import asyncio
import typing
import unittest
import unittest.mock

from egretstep import clock, identifiers
from egretstep.pooling import reading
from egretstep.settings import schema

PRIMARY = identifiers.ServerName('p')
REPLICA = identifiers.ServerName('r')
AHEAD = identifiers.LogPosition(term=1, offset=9)
WAIT_MS = 10


def make_planner(source: typing.Any) -> reading.ReadPlanner:
    group = unittest.mock.MagicMock()
    group.floors.floor.return_value = AHEAD
    group.staleness.age_bound.return_value = 0
    group.monitors = []
    for name in (PRIMARY, REPLICA):
        watched = unittest.mock.MagicMock(applied=identifiers.LOG_START)
        watched.name = name
        group.monitors.append(watched)
    pool = unittest.mock.MagicMock(connections=source)
    pool.queue.load = 0
    return reading.ReadPlanner(
        database_group=group,
        pools=typing.cast(typing.Any, {PRIMARY: pool, REPLICA: pool}),
        zone_of=lambda _server: identifiers.ZoneName('z'),
        is_zone_in=lambda _zone: True,
        time_source=clock.MonotonicClock(),
    )


class ReadPlannerTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_connection_of_a_replica_comes_free(self) -> None:
        source = unittest.mock.MagicMock(free_count=1)
        source.acquire = lambda _term: asyncio.Event().wait()
        job = unittest.mock.MagicMock(deadline=clock.MonotonicClock().now() + 9)
        job.effective.read_policy = schema.ReadPolicy.SESSION
        job.effective.replica_wait_ms = WAIT_MS
        job.request.max_staleness_ms = None
        tenure = unittest.mock.MagicMock(primary=PRIMARY)
        async with asyncio.timeout(1):
            server = await make_planner(source).choose(job, tenure)
        self.assertEqual(server, PRIMARY)
