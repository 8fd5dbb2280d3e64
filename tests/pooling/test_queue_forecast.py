"""Load pattern: a queue whose turns come slower than statements suggest."""

import asyncio
import unittest

from egretstep import clock, errors, identifiers
from egretstep.pooling import fair_queue, queue_forecast
from tests import virtual_time

DEPOT = identifiers.WorkspaceName('depot')
TURN_SECONDS = 0.2
TIMEOUT_SECONDS = 1.0


class ForecastTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.forecast = queue_forecast.QueueForecast(time_source=self.clock)

    def _give_turns(self, count: int, each: float) -> None:
        for _ in range(count):
            self.clock.advance(each)
            self.forecast.note_turn()

    def test_the_pace_of_the_last_seconds_counts(self) -> None:
        self.forecast.note_waiting(waiting=1)
        self._give_turns(100, 0.01)
        self._give_turns(10, TURN_SECONDS)
        due = self.forecast.seconds_until(position=10)
        self.assertAlmostEqual(due, 10 * TURN_SECONDS, delta=TURN_SECONDS)

    def test_a_queue_that_has_just_formed_tells_nothing(self) -> None:
        self.forecast.note_waiting(waiting=1)
        self._give_turns(1, 0.1)
        self.assertEqual(self.forecast.seconds_until(position=100), 0)

    def test_a_server_that_was_away_is_not_taken_for_slow(self) -> None:
        self.forecast.note_waiting(waiting=1)
        self._give_turns(100, 0.01)
        self.clock.advance(queue_forecast.WINDOW_SECONDS * 1.5)
        self._give_turns(1, 0.01)
        self.assertEqual(self.forecast.seconds_until(position=10), 0)
        self._give_turns(50, 0.01)
        due = self.forecast.seconds_until(position=10)
        self.assertAlmostEqual(due, 0.1, delta=0.02)

    def test_an_empty_queue_forgets_its_pace(self) -> None:
        self.forecast.note_waiting(waiting=1)
        self._give_turns(5, TURN_SECONDS)
        self.forecast.note_waiting(waiting=0)
        self.forecast.note_waiting(waiting=1)
        self.assertEqual(self.forecast.seconds_until(position=5), 0)


class SlowTurnsTest(unittest.TestCase):
    def test_who_can_not_be_reached_hears_of_it_before_the_deadline(
        self,
    ) -> None:
        """A server turns slow while many wait whose time is short."""
        waits = virtual_time.run(self._play())
        held = [wait for wait in waits if wait > TIMEOUT_SECONDS * 0.75]
        self.assertGreater(len(waits), 20)
        self.assertLess(len(held), len(waits) / 10)

    async def _play(self) -> list[float]:
        queue = fair_queue.FairQueue(
            slots=1,
            time_source=virtual_time.LoopClock(),
        )
        waits: list[float] = []
        await asyncio.gather(*(self._send(queue, waits) for _ in range(40)))
        return waits

    async def _send(
        self,
        queue: fair_queue.FairQueue,
        waits: list[float],
    ) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            async with queue.slot(
                workspace=DEPOT,
                weight=1,
                deadline=started + TIMEOUT_SECONDS,
            ):
                await asyncio.sleep(TURN_SECONDS)
        except errors.RefusedError:
            waits.append(loop.time() - started)
