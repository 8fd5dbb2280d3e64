import unittest

from egretstep import identifiers
from egretstep.backends import mysql as database
from egretstep.pooling import outcomes


class OutcomesTest(unittest.TestCase):
    def test_only_a_read_is_not_run_after_its_deadline(self) -> None:
        read = outcomes.deadline_exceeded(identifiers.StatementKind.READ)
        write = outcomes.deadline_exceeded(identifiers.StatementKind.WRITE)
        self.assertIs(read.outcome, identifiers.Outcome.NOT_RUN)
        self.assertIs(write.outcome, identifiers.Outcome.UNKNOWN)

    def test_every_message_names_the_outcome(self) -> None:
        for refusal in (
            outcomes.unknown('x'),
            outcomes.unavailable('x'),
            outcomes.transaction_lost('x'),
        ):
            self.assertIn(f'outcome: {refusal.outcome.value}', refusal.text())

    def test_error_code_tells_a_stale_term_from_an_unknown_commit(self) -> None:
        stale = database.ServerRefusalError(
            code=outcomes.CODE_STALE_TERM,
            sql_state='HY000',
            message='',
        )
        self.assertTrue(outcomes.is_stale_term(stale))
        self.assertFalse(outcomes.is_commit_unknown(stale))
