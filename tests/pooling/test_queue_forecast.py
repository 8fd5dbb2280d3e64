"""Guards against forecasts that are too short when a server turns slow.

Load pattern: slots are granted at a lower rate than the estimated cost of the
statements suggests.
"""

import asyncio
import unittest

from egretstep import clock, errors, identifiers
from egretstep.pooling import fair_queue, queue_forecast
from tests import virtual_time

DEPOT = identifiers.WorkspaceName('depot')
SERVICE_SECONDS = 0.2
TIMEOUT_SECONDS = 1.0


class ForecastTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.forecast = queue_forecast.QueueForecast(time_source=self.clock)

    def _grant_slots(self, count: int, interval: float) -> None:
        for _ in range(count):
            self.clock.advance(interval)
            self.forecast.record_slot_granted()

    def test_forecast_uses_the_rate_of_the_last_seconds(self) -> None:
        self.forecast.record_waiting(waiting=1)
        self._grant_slots(100, 0.01)
        self._grant_slots(10, SERVICE_SECONDS)
        wait_seconds = self.forecast.seconds_until(position=10)
        self.assertAlmostEqual(
            wait_seconds, 10 * SERVICE_SECONDS, delta=SERVICE_SECONDS
        )

    def test_a_queue_that_has_just_formed_has_no_forecast(self) -> None:
        self.forecast.record_waiting(waiting=1)
        self._grant_slots(1, 0.1)
        self.assertEqual(self.forecast.seconds_until(position=100), 0)

    def test_time_without_the_server_does_not_lower_the_rate(self) -> None:
        self.forecast.record_waiting(waiting=1)
        self._grant_slots(100, 0.01)
        self.clock.advance(queue_forecast.WINDOW_SECONDS * 1.5)
        self._grant_slots(1, 0.01)
        self.assertEqual(self.forecast.seconds_until(position=10), 0)
        self._grant_slots(50, 0.01)
        wait_seconds = self.forecast.seconds_until(position=10)
        self.assertAlmostEqual(wait_seconds, 0.1, delta=0.02)

    def test_an_empty_queue_resets_the_rate(self) -> None:
        self.forecast.record_waiting(waiting=1)
        self._grant_slots(5, SERVICE_SECONDS)
        self.forecast.record_waiting(waiting=0)
        self.forecast.record_waiting(waiting=1)
        self.assertEqual(self.forecast.seconds_until(position=5), 0)


class SlowServerTest(unittest.TestCase):
    def test_most_are_refused_well_before_the_deadline(
        self,
    ) -> None:
        """A server turns slow while statements with short timeouts wait."""
        refusal_waits = virtual_time.run(self._simulate())
        refused_late = [
            wait for wait in refusal_waits if wait > TIMEOUT_SECONDS * 0.75
        ]
        self.assertGreater(len(refusal_waits), 20)
        self.assertLess(len(refused_late), len(refusal_waits) / 10)

    async def _simulate(self) -> list[float]:
        queue = fair_queue.FairQueue(
            slots=1,
            time_source=virtual_time.LoopClock(),
        )
        refusal_waits: list[float] = []
        await asyncio.gather(
            *(self._send(queue, refusal_waits) for _ in range(40))
        )
        return refusal_waits

    async def _send(
        self,
        queue: fair_queue.FairQueue,
        refusal_waits: list[float],
    ) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            async with queue.slot(
                workspace=DEPOT,
                weight=1,
                deadline=started + TIMEOUT_SECONDS,
            ):
                await asyncio.sleep(SERVICE_SECONDS)
        except errors.RefusedError:
            refusal_waits.append(loop.time() - started)
