"""Guards against refusals that call their callers back too soon or too late."""

import unittest

from egretstep import identifiers
from egretstep.pooling import failure_answers

OWNER = identifiers.HostName('host-1')


class OwnerLostTest(unittest.TestCase):
    def _retry_after_ms(self, takeover_delay: float) -> int:
        answer = failure_answers.owner_lost(OWNER, takeover_delay)
        return answer.retry_after_ms

    def test_an_owner_that_is_replaced_soon_calls_back_soon(self) -> None:
        self.assertEqual(self._retry_after_ms(0), 300)

    def test_callers_return_when_the_owner_can_be_replaced(self) -> None:
        """They came back every 0.3 s while a forced set did not count."""
        self.assertEqual(self._retry_after_ms(2), 2000)

    def test_an_owner_may_come_back_before_that(self) -> None:
        self.assertEqual(self._retry_after_ms(55), 5000)
