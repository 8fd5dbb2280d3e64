"""Answers for statements that got no complete answer from their server.

An answer says that a statement had no effect only when that is certain: the
statement was not sent, it only read, or it belongs to a transaction whose
connection is closed before the commit was sent.
"""

import dataclasses

from egretstep import clock, identifiers
from egretstep.backends import answers, commands
from egretstep.pooling import work as work_module

RETRY_AFTER_MS = 100
NO_OWNER_RETRY_AFTER_MS = 300
MAX_NO_OWNER_RETRY_AFTER_MS = 5000
STOPPING = 'this host is stopping; connect again'
PRIMARY_REPLACED = 'the primary is being replaced'


def moved() -> answers.Answer:
    """Return the answer for a service that this host does not own."""
    return answers.refusal(
        answers.Code.MOVED,
        'this host does not own the service',
        retry_after_ms=RETRY_AFTER_MS,
    )


def owner_lost(
    host: identifiers.HostName | None, takeover_delay: float
) -> answers.Answer:
    """Return the answer while the owner of a service does not answer.

    No other host takes the service over for `takeover_delay` seconds, but the
    owner itself may come back sooner.
    """
    delay_ms = clock.to_milliseconds(takeover_delay)
    return answers.refusal(
        answers.Code.OVERLOADED,
        f'the owner ({host}) does not answer',
        retry_after_ms=max(
            NO_OWNER_RETRY_AFTER_MS, min(delay_ms, MAX_NO_OWNER_RETRY_AFTER_MS)
        ),
    )


def timed_out(work: work_module.Work, *, was_sent: bool) -> answers.Answer:
    """Return the answer for a statement that ran past its deadline."""
    if not was_sent:
        return answers.refusal(
            answers.Code.OVERLOADED,
            'no connection to the server in time',
            retry_after_ms=RETRY_AFTER_MS,
        )
    if work.is_read_only or _is_in_open_transaction(work):
        return answers.Answer(
            code=answers.Code.TIMED_OUT,
            message='the server did not answer in time',
            was_sent=True,
        )
    return outcome_unknown('the server did not answer in time')


def connection_broken(
    work: work_module.Work,
    reason: str,
    *,
    was_sent: bool,
) -> answers.Answer:
    """Return the answer for a statement whose connection broke."""
    if was_sent and not work.is_read_only and not _is_in_open_transaction(work):
        return outcome_unknown(reason)
    return answers.Answer(
        code=answers.Code.ABORTED,
        message=f'the connection broke: {reason}',
        retry_after_ms=RETRY_AFTER_MS,
        was_sent=was_sent,
    )


def transaction_lost(
    work: work_module.Work,
    has_written: bool,
    was_sent: bool,
    reason: str,
) -> answers.Answer:
    """Return the answer for a statement whose transaction was lost.

    The outcome is unknown only for a commit that was sent after a write.
    """
    is_commit = work.command.action is commands.Action.COMMIT
    if is_commit and has_written and was_sent:
        return outcome_unknown(reason)
    return answers.Answer(
        code=answers.Code.ABORTED,
        message=f'the transaction was rolled back: {reason}',
        retry_after_ms=RETRY_AFTER_MS,
        was_sent=was_sent,
    )


def interrupted(
    work: work_module.Work,
    *,
    has_written: bool,
    was_sent: bool,
    reason: str,
) -> answers.Answer:
    """Return the answer for a statement that this host has ended.

    `has_written` tells whether its open transaction has written before.
    """
    if work.is_pinned:
        return transaction_lost(
            work, has_written=has_written, was_sent=was_sent, reason=reason
        )
    return connection_broken(work, reason, was_sent=was_sent)


def host_stopping() -> answers.Answer:
    """Return the refusal of a host that has no time left for a statement."""
    return answers.refusal(
        answers.Code.OVERLOADED,
        STOPPING,
        retry_after_ms=RETRY_AFTER_MS,
    )


def stopping(work: work_module.Work) -> answers.Answer:
    """Return the refusal of a statement that a stopping host has no time for.

    An open transaction stays open until the host of its caller ends it.
    """
    if not work.is_pinned:
        return host_stopping()
    lost = transaction_lost(
        work, has_written=False, was_sent=False, reason=STOPPING
    )
    return dataclasses.replace(lost, is_pinned=True)


def outcome_unknown(reason: str) -> answers.Answer:
    """Return the answer for a statement that may have run."""
    return answers.Answer(
        code=answers.Code.UNKNOWN_OUTCOME,
        message=f'it may have run: {reason}',
        was_sent=True,
    )


def _is_in_open_transaction(work: work_module.Work) -> bool:
    """Tell whether the statement leaves its new transaction open."""
    return (
        work.opens is not work_module.Opens.NOTHING
        and work.command.action is not commands.Action.COMMIT
    )
