"""Guards against rejected callers that all come back at the same time.

Load pattern: 2.5 times the usual load for 4 s; rejected callers come back
twice at most, after the time that they were told.
"""

import collections
import unittest

from egretstep import clock
from egretstep.pooling import return_times, slot_requests
from tests.pooling import load_replay

BURST_START = 3.0
BURST_END = 7.0
OUTLOOK = tuple(
    slot_requests.Outlook(wait_seconds=0.2 * (level + 1), rate=40 / 4**level)
    for level in range(4)
)


def _load_at(now: float) -> float:
    return 1.75 if BURST_START < now < BURST_END else 0.7


class BurstTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.replay = load_replay.Replay(max_returns=2).run(_load_at, 16)

    def test_the_queue_is_calm_soon_after_the_burst(self) -> None:
        for now, load in self.replay.samples:
            if now > BURST_END + 1:
                self.assertTrue(load_replay.is_calm(load), f'at {now:.2f} s')

    def test_returns_form_no_new_peak(self) -> None:
        counts = collections.Counter(int(now) for now in self.replay.returns)
        rejected_per_second = len(self.replay.told) / (BURST_END - BURST_START)
        self.assertGreater(sum(counts.values()), 50)
        self.assertLess(max(counts.values()), 0.75 * rejected_per_second)

    def test_high_priority_is_told_an_earlier_time(self) -> None:
        told = collections.defaultdict(list)
        for priority, seconds in self.replay.told:
            told[priority].append(seconds)
        means = [sum(told[key]) / len(told[key]) for key in sorted(told)]
        self.assertGreater(len(means), 1)
        self.assertEqual(means, sorted(means))


class ReturnTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.times = return_times.ReturnTimes(
            time_source=self.clock, rng=lambda: 0.5
        )

    def test_each_caller_gets_its_own_place(self) -> None:
        told = [self.times.book(0, OUTLOOK) for _ in range(10)]
        self.assertEqual(told, sorted(set(told)))
        self.assertGreater(told[0], OUTLOOK[0].wait_seconds)

    def test_due_places_are_free_again(self) -> None:
        first = self.times.book(1, OUTLOOK)
        self.times.book(1, OUTLOOK)
        self.clock.advance(return_times.MAX_RETURN_SECONDS[-1])
        self.assertEqual(self.times.book(1, OUTLOOK), first)

    def test_no_time_is_above_the_longest(self) -> None:
        for level, longest in enumerate(return_times.MAX_RETURN_SECONDS):
            told = [self.times.book(level, OUTLOOK) for _ in range(200)]
            self.assertLessEqual(max(told), longest)

    def test_a_lower_level_is_told_a_later_time_than_a_full_higher(
        self,
    ) -> None:
        high = [self.times.book(0, OUTLOOK) for _ in range(20)]
        self.assertGreater(self.times.book(2, OUTLOOK), max(high))

    def test_callers_without_a_place_wait_for_room(self) -> None:
        """Guards against random times before the queue has room."""
        times = return_times.ReturnTimes(
            time_source=self.clock, rng=lambda: 0.99
        )
        for earliest_seconds in (0.8, 9.0):
            told = [
                times.book(0, OUTLOOK, earliest_seconds=earliest_seconds)
                for _ in range(50)
            ]
            self.assertGreaterEqual(min(told), 0.8)
            self.assertLessEqual(max(told), return_times.MAX_RETURN_SECONDS[0])

    def test_a_caller_is_not_told_to_return_before_there_is_room(self) -> None:
        told = self.times.book(2, OUTLOOK, earliest_seconds=2.5)
        self.assertGreaterEqual(told, 2.5)
