"""Retries while the owner or primary is lost and callers go on sending."""

import unittest

from egretstep.backends import answers
from egretstep.routing import retry_policy


class RetryPolicyTest(unittest.TestCase):
    def test_retries_shortly_after_the_start(self) -> None:
        answer = answers.refusal(answers.Code.OVERLOADED, 'moving')
        self.assertTrue(
            retry_policy.is_worth_retrying(answer, waited=0.02, remaining=0.7),
        )

    def test_gives_up_on_an_unreachable_host(self) -> None:
        answer = answers.refusal(answers.Code.OVERLOADED, 'unreachable')
        self.assertFalse(
            retry_policy.is_worth_retrying(answer, waited=0.4, remaining=0.4),
        )

    def test_gives_up_when_the_retry_delay_exceeds_the_timeout(self) -> None:
        answer = answers.refusal(
            answers.Code.OVERLOADED,
            'the primary is being replaced',
            retry_after_ms=900,
        )
        self.assertFalse(
            retry_policy.is_worth_retrying(answer, waited=0, remaining=0.8),
        )

    def test_retries_at_the_primary_when_a_replica_lags(self) -> None:
        answer = answers.refusal(answers.Code.BEHIND, 'behind')
        self.assertTrue(
            retry_policy.is_worth_retrying(answer, waited=0.6, remaining=0.2),
        )

    def test_retries_longer_when_a_service_has_moved(self) -> None:
        answer = answers.refusal(
            answers.Code.MOVED,
            'another host owns it',
            retry_after_ms=100,
        )
        self.assertTrue(
            retry_policy.is_worth_retrying(answer, waited=0.6, remaining=0.5),
        )
        self.assertFalse(
            retry_policy.is_worth_retrying(answer, waited=1.2, remaining=0.5),
        )
