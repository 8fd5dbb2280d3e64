"""One log line for each decision that touches a request."""

import logbook

from egretstep import identifiers
from egretstep.backends import answers

_logger = logbook.Logger('request')


def refused_by_rate(
    statement_id: bytes,
    workspace: identifiers.WorkspaceName,
    wait: float,
) -> None:
    """Log that a workspace is above its rate."""
    _logger.info(
        'id={} outcome=refused reason=rate workspace={} retry_after={:.3f}',
        statement_id.decode(),
        workspace,
        wait,
    )


def failed(
    statement_id: bytes,
    database: identifiers.DatabaseName,
    answer: answers.Answer,
) -> None:
    """Log the answer to a statement that did not succeed."""
    _logger.info(
        'id={} outcome={} database={} sent={} reason={}',
        statement_id.decode(),
        answer.code.value,
        database,
        answer.was_sent,
        answer.message,
    )


def late(
    statement_id: bytes,
    database: identifiers.DatabaseName,
    elapsed: float,
    answer: answers.Answer,
) -> None:
    """Log where a statement that took longer than its aim spent its time."""
    _logger.info(
        'id={} outcome=late database={} took={:.3f} queued_ms={} ran_ms={}',
        statement_id.decode(),
        database,
        elapsed,
        answer.queued_ms,
        answer.ran_ms,
    )
