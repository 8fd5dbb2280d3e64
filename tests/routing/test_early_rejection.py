"""Guards against rejections by old load data, and against blind ones."""

import random
import unittest

from egretstep import clock
from egretstep.backends import connection, server_load
from egretstep.routing import early_rejection, server_loads

SERVER = connection.ServerId('s1')
WAIT_SECONDS = 2.0
REMAINING_SECONDS = 1.2


class EarlyRejectionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.loads = server_loads.ServerLoads(time_source=self.clock)
        self.rejection = early_rejection.EarlyRejection(
            loads=self.loads, time_source=self.clock, rng=random.Random(7)
        )
        self.loads.record(
            server_load.ServerLoad(
                server=SERVER,
                capacity=2,
                running=2,
                waiting=100,
                service_seconds=0.04,
                waits=(0.1, WAIT_SECONDS),
            )
        )

    def test_one_statement_per_interval_is_sent(self) -> None:
        sent = 0
        for _ in range(100):
            sent += self._retry_after() is None
            self.clock.advance(0.002)
        self.assertEqual(sent, 4)

    def test_a_rejected_statement_returns_when_there_is_room(self) -> None:
        self._retry_after()
        retry_after = self._retry_after()
        self.assertGreater(retry_after, WAIT_SECONDS - REMAINING_SECONDS)

    def test_rejected_statements_return_one_by_one(self) -> None:
        self._retry_after()
        times = [self._retry_after() for _ in range(21)]
        self.assertEqual(times, sorted(times))
        self.assertGreater(
            times[-1] - times[0], 10 * early_rejection.RETURN_INTERVAL_SECONDS
        )

    def test_a_level_with_a_short_wait_is_sent(self) -> None:
        self._retry_after(priority=0)
        self.assertIsNone(self._retry_after(priority=0))

    def test_old_load_data_rejects_nothing(self) -> None:
        self._retry_after()
        self.clock.advance(early_rejection.MAX_AGE_SECONDS + 0.001)
        self._retry_after()
        self.assertIsNone(self._retry_after())

    def _retry_after(self, *, priority: int = 1) -> float | None:
        return self.rejection.retry_after(
            SERVER, priority=priority, remaining=REMAINING_SECONDS
        )
