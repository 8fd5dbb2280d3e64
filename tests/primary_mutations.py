"""Mutants without a mechanism of the change of primary."""

from tests import mutant_types

_STATEMENTS = 'src/egretstep/replication/primary_statements.py'
_FAILOVER = 'src/egretstep/replication/failover.py'
_PENDING_TESTS = 'tests.replication.test_pending_promotion'
_FORMER_TESTS = 'tests.replication.test_former_primary'

MUTANTS = (
    mutant_types.Mutant(
        name='statements of a former primary go on',
        path=_STATEMENTS,
        old='lambda work: not leadership.permits(work)',
        new='lambda work: False',
        tests=_FORMER_TESTS,
    ),
    mutant_types.Mutant(
        name='a statement that was not sent is not repeated',
        path=_STATEMENTS,
        old='if not has_changed or not _may_try_again(work, answer):',
        new='if has_changed or not has_changed:',
        tests=_FORMER_TESTS,
    ),
    mutant_types.Mutant(
        name='a primary without a status is taken for dead',
        path='src/egretstep/replication/primary.py',
        old='if not liveness.is_alive and broker.activity.alive_at > started:',
        new='if not liveness.is_alive and started < 0:',
        tests=_FORMER_TESTS,
    ),
    mutant_types.Mutant(
        name='a server that takes work is preferred to a complete one',
        path='src/egretstep/replication/candidates.py',
        old='eligible = complete or _most_advanced(evidence.found)',
        new='eligible = evidence.found',
        tests='tests.replication.test_failover',
    ),
    mutant_types.Mutant(
        name='a refused promotion counts as pending',
        path=_FAILOVER,
        old='            return _Outcome.NOT_ORDERED\n',
        new='            return _Outcome.UNKNOWN\n',
        tests=_PENDING_TESTS,
    ),
    mutant_types.Mutant(
        name='the owner does not look whether its primary still leads',
        path='src/egretstep/replication/primary.py',
        old='if await self._is_superseded(current or primary):',
        new='if primary is None:',
        tests=_PENDING_TESTS,
    ),
    mutant_types.Mutant(
        name='later details of the same epoch are not reported',
        path='src/egretstep/membership/leases.py',
        old='if self._claims[claim.task].precedence > claim.precedence',
        new='if self._claims[claim.task].epoch > claim.epoch',
        tests='tests.membership.test_leases',
    ),
)
