"""Guards against state of servers that a host keeps for ever.

Load pattern: servers come and go under new ids, and a server that is silent
collects thousands of statements.
"""

import random
import unittest

from egretstep import clock
from egretstep.backends import connection, server_load
from egretstep.routing import cooldowns, early_rejection, server_loads

SERVER = connection.ServerId('s1')


def _full(server: connection.ServerId) -> server_load.ServerLoad:
    return server_load.ServerLoad(
        server=server,
        capacity=1,
        running=1,
        waiting=100,
        service_seconds=0.02,
        waits=(5.0,),
    )


class RoutingMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.loads = server_loads.ServerLoads(time_source=self.clock)

    def test_cooldowns_end(self) -> None:
        avoided = cooldowns.Cooldowns(time_source=self.clock)
        for number in range(100):
            avoided.start(connection.ServerId(f's{number}'))
            self.clock.advance(cooldowns.COOLDOWN_SECONDS / 4)
        self.assertLessEqual(len(avoided), 4)
        self.assertTrue(avoided.is_active(connection.ServerId('s99')))

    def test_levels_of_early_rejection_are_bounded(self) -> None:
        rejection = early_rejection.EarlyRejection(
            loads=self.loads, time_source=self.clock, rng=random.Random(1)
        )
        for number in range(early_rejection.MAX_LEVELS + 10):
            server = connection.ServerId(f's{number}')
            self.loads.record(_full(server))
            rejection.retry_after(server, priority=0, remaining=1)
        self.assertEqual(len(rejection._levels), early_rejection.MAX_LEVELS)

    def test_only_statements_since_the_load_data_are_kept(self) -> None:
        """The count is read for each candidate of each read."""
        sent_ids = [self.loads.record_sent(SERVER) for _ in range(1000)]
        self.assertEqual(self.loads.unanswered_count(SERVER), 1000)
        self.clock.advance(1)
        self.loads.record(_full(SERVER))
        self.assertEqual(self.loads._unanswered, {})
        sent_ids.append(self.loads.record_sent(SERVER))
        self.assertEqual(self.loads.unanswered_count(SERVER), 1)
        for sent_id in sent_ids:
            self.loads.record_answered(SERVER, sent_id)
        self.assertEqual(self.loads._unanswered, {})
