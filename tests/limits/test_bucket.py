import unittest

from egretstep import clock
from egretstep.limits import bucket


class TokenBucketTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()

    def _bucket(self, **options: float) -> bucket.TokenBucket:
        return bucket.TokenBucket(
            rate=10,
            burst=3,
            time_source=self.clock,
            **options,
        )

    def test_burst_is_followed_by_the_rate(self) -> None:
        tokens = self._bucket()
        waits = [tokens.reserve(longest_wait=0) for _ in range(4)]
        self.assertEqual(waits, [0, 0, 0, None])
        self.clock.advance(0.1)
        self.assertEqual(tokens.reserve(longest_wait=0), 0)

    def test_reservations_are_due_one_after_another(self) -> None:
        tokens = self._bucket(empty_at=self.clock.now())
        waits = [tokens.reserve(longest_wait=0.25) for _ in range(3)]
        self.assertEqual([round(wait, 3) for wait in waits[:2]], [0.1, 0.2])
        self.assertIsNone(waits[2])

    def test_bucket_starts_empty(self) -> None:
        self.assertEqual(self._bucket(empty_at=self.clock.now()).take(5), 0)

    def test_tokens_are_earned_since_empty_at(self) -> None:
        self.clock.advance(7)
        tokens = self._bucket(empty_at=6.85)
        self.assertEqual(tokens.take(5), 1)

    def test_lower_burst_drops_tokens(self) -> None:
        tokens = self._bucket()
        tokens.set_limits(rate=10, burst=1)
        self.assertEqual(tokens.take(5), 1)
