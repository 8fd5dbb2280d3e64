"""Log lines for the refusal, failure, delay or retry of a request."""

import typing

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
    """Log and count a refusal because the workspace exceeded its rate.

    `wait` is the time after which to retry, in seconds.
    """
    metrics.refusals.inc(workspace, 'rate')
    _log_event(
        'refused',
        statement_id,
        reason='rate',
        workspace=workspace,
        retry_after_s=round(wait, 3),
        settings_version=version,
    )


def failed(
    statement_id: bytes,
    database: identifiers.DatabaseName,
    elapsed: float,
    answer: answers.Answer,
    version: identifiers.SettingsVersion,
) -> None:
    """Log the answer to a statement that failed after `elapsed` seconds."""
    _log_event(
        'failed',
        statement_id,
        outcome=answer.code.value,
        database=database,
        took_s=round(elapsed, 3),
        sent_to_server=answer.was_sent,
        reason=answer.message,
        retry_after_ms=answer.retry_after_ms,
        settings_version=version,
    )


def late(
    statement_id: bytes,
    database: identifiers.DatabaseName,
    elapsed: float,
    answer: answers.Answer,
) -> None:
    """Log the waiting and running time of a statement above its target.

    `elapsed` is in seconds.
    """
    _log_event(
        'late',
        statement_id,
        database=database,
        took_s=round(elapsed, 3),
        queued_ms=answer.queued_ms,
        ran_ms=answer.ran_ms,
    )


def attempt_without_effect(
    statement_id: bytes,
    answer: answers.Answer,
    host: identifiers.HostName,
    server: str,
    remaining: float,
) -> None:
    """Log and count an attempt without effect, retried or given up.

    `server` is empty for the primary; `remaining` is the rest of the timeout
    in seconds.
    """
    metrics.retries.inc(answer.code.value)
    _log_event(
        'try without effect',
        statement_id,
        outcome=answer.code.value,
        reason=answer.message,
        host=host,
        server=server or 'primary',
        left_s=round(remaining, 3),
    )


def retry_denied(statement_id: bytes, answer: answers.Answer) -> None:
    """Log and count a statement that the retry budget does not repeat."""
    metrics.denied_retries.inc(answer.code.value)
    _log_event(
        'retry denied',
        statement_id,
        outcome=answer.code.value,
        retry_after_ms=answer.retry_after_ms,
    )


def refused_while_stopping(
    statement_id: bytes,
    database: identifiers.DatabaseName,
    timeout: float,
    answer: answers.Answer,
) -> None:
    """Log and count a refusal of a host that stops too soon for a request.

    `timeout` is the time limit of its route, in seconds.
    """
    metrics.refusals.inc(database, 'stopping')
    _log_event(
        'refused',
        statement_id,
        reason='the host is stopping',
        database=database,
        timeout_s=timeout,
        retry_after_ms=answer.retry_after_ms,
    )


def denied(
    statement_id: bytes,
    database: identifiers.DatabaseName,
    answer: answers.Answer,
    version: identifiers.SettingsVersion,
) -> None:
    """Log and count a session whose key or database is unknown or withdrawn."""
    metrics.refusals.inc(database, answer.code.value)
    _log_event(
        'denied',
        statement_id,
        outcome=answer.code.value,
        database=database,
        reason=answer.message,
        settings_version=version,
    )


def _log_event(event: str, statement_id: bytes, **fields: typing.Any) -> None:
    request_id = statement_id.decode(errors='replace')
    _logger.info(event, extra={'id': request_id, **fields})
