"""Backoff while hosts restart in turn and all others follow the changes."""

import unittest

from egretstep import clock
from egretstep.storage import poll_backoff

BASE_SECONDS = 0.5
WRITE_TIMES_SECONDS = (0.0, 0.4, 1.2)
RESTART_EVERY_SECONDS = 2.0
RESTARTS = 20


class PollBackoffTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=100)
        self.backoff = poll_backoff.PollBackoff(time_source=self.clock)

    def test_single_changes_have_the_base_pause(self) -> None:
        for _ in range(3):
            pause = self.backoff.next_pause(BASE_SECONDS)
            self.assertEqual(pause, BASE_SECONDS)
            self.clock.advance(10)

    def test_pause_is_bounded(self) -> None:
        for _ in range(10):
            pause = self.backoff.next_pause(BASE_SECONDS)
            self.clock.advance(pause)
        self.assertEqual(pause, BASE_SECONDS * poll_backoff.MAX_PAUSE_FACTOR)

    def test_rolling_restart_costs_a_call_for_two_changes(self) -> None:
        changes = [
            100 + number * RESTART_EVERY_SECONDS + after
            for number in range(RESTARTS)
            for after in WRITE_TIMES_SECONDS
        ]
        written = len(changes)
        calls = 0
        while changes:
            now = self.clock.now()
            self.clock.advance(max(0, changes[0] - now))
            calls += 1
            polled_at = self.clock.now()
            changes = [at for at in changes if at > polled_at]
            self.clock.advance(self.backoff.next_pause(BASE_SECONDS))
        self.assertLessEqual(calls, written / 2)
