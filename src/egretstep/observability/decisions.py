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
