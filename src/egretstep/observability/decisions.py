"""One log line for each decision that touches a request."""

import logbook

from egretstep import identifiers
from egretstep.backends import answers
from egretstep.observability import metrics

_logger = logbook.Logger('request')


def refused_by_rate(
    statement_id: bytes,
    workspace: identifiers.WorkspaceName,
    wait: float,
    version: identifiers.SettingsVersion,
) -> None:
    """Log that a workspace is above its rate."""
    metrics.refusals.inc(workspace, 'rate')
    _logger.info(
        'refused',
        extra={
            'id': statement_id.decode(errors='replace'),
            'reason': 'rate',
            'workspace': workspace,
            'retry_after_s': round(wait, 3),
            'settings_version': version,
        },
    )


def failed(
    statement_id: bytes,
    database: identifiers.DatabaseName,
    answer: answers.Answer,
    version: identifiers.SettingsVersion,
) -> None:
    """Log the answer to a statement that did not succeed."""
    _logger.info(
        'failed',
        extra={
            'id': statement_id.decode(errors='replace'),
            'outcome': answer.code.value,
            'database': database,
            'sent_to_server': answer.was_sent,
            'reason': answer.message,
            'retry_after_ms': answer.retry_after_ms,
            'settings_version': version,
        },
    )


def late(
    statement_id: bytes,
    database: identifiers.DatabaseName,
    elapsed: float,
    answer: answers.Answer,
) -> None:
    """Log where a statement that took longer than its aim spent its time."""
    _logger.info(
        'late',
        extra={
            'id': statement_id.decode(errors='replace'),
            'database': database,
            'took_s': round(elapsed, 3),
            'queued_ms': answer.queued_ms,
            'ran_ms': answer.ran_ms,
        },
    )


def tried_again(
    statement_id: bytes,
    answer: answers.Answer,
    host: identifiers.HostName,
    server: str,
    remaining: float,
) -> None:
    """Log that a try without effect is repeated or given up."""
    metrics.retries.inc(answer.code.value)
    _logger.info(
        'try without effect',
        extra={
            'id': statement_id.decode(errors='replace'),
            'outcome': answer.code.value,
            'reason': answer.message,
            'host': host,
            'server': server or 'primary',
            'left_s': round(remaining, 3),
        },
    )


def denied(
    statement_id: bytes,
    database: identifiers.DatabaseName,
    answer: answers.Answer,
    version: identifiers.SettingsVersion,
) -> None:
    """Log that a session's key or database is not, or no longer, known."""
    metrics.refusals.inc(database, answer.code.value)
    _logger.info(
        'denied',
        extra={
            'id': statement_id.decode(errors='replace'),
            'outcome': answer.code.value,
            'database': database,
            'reason': answer.message,
            'settings_version': version,
        },
    )
