"""Refusals that tell a caller whether a failed statement may have run.

A refusal says "not run" only when the statement was never sent to a server,
when the server refused it, or when it was a read, which has no effect.
"""

from egretstep import errors, identifiers
from egretstep.backends import mysql as database

CODE_STALE_TERM = 1290
CODE_READ_ONLY = 1792
CODE_COMMIT_UNKNOWN = 1180
RETRY_AFTER_MS = 200


class StaleTermError(errors.EgretstepError):
    """The term or the server's role changed; the statement may be repeated."""


def raise_for_failover(error: database.ServerRefusalError) -> None:
    """Raise the error that stands for a refusal caused by a failover.

    Returns when the caller's statement itself caused the refusal. Raises
    `StaleTermError` when the statement did not run, and `errors.RefusedError`
    when a commit may have taken effect.
    """
    if is_stale_term(error):
        raise StaleTermError(str(error)) from error
    if is_commit_unknown(error):
        raise errors.RefusedError(refusal=unknown(error.message)) from error


def is_stale_term(error: database.ServerRefusalError) -> bool:
    """Tell whether a server refused because its term or role changed."""
    return error.code in {CODE_STALE_TERM, CODE_READ_ONLY}


def is_commit_unknown(error: database.ServerRefusalError) -> bool:
    """Tell whether a server can't say if a commit took effect."""
    return error.code == CODE_COMMIT_UNKNOWN


def not_owner(database_name: identifiers.DatabaseName) -> errors.Refusal:
    """Return the refusal of a host that does not own a database."""
    return errors.Refusal(
        kind=errors.RefusalKind.NOT_OWNER,
        message=f'this host does not serve {database_name}; try its owner',
        retry_after_ms=RETRY_AFTER_MS,
    )


def unavailable(reason: str) -> errors.Refusal:
    """Return the refusal for a statement that no server can run now."""
    return errors.Refusal(
        kind=errors.RefusalKind.UNAVAILABLE,
        message=f'the database can not run this now ({reason}); send it again',
        retry_after_ms=RETRY_AFTER_MS,
    )


def transaction_lost(reason: str) -> errors.Refusal:
    """Return the refusal for a statement of a rolled back transaction."""
    return errors.Refusal(
        kind=errors.RefusalKind.TRANSACTION_LOST,
        message=(
            f'the transaction was rolled back ({reason}); '
            'start the whole transaction again'
        ),
        retry_after_ms=RETRY_AFTER_MS,
    )


def unknown(reason: str) -> errors.Refusal:
    """Return the refusal for a statement that may have run."""
    return errors.Refusal(
        kind=errors.RefusalKind.OUTCOME_UNKNOWN,
        message=(
            f'the statement may have run ({reason}); look at the data '
            'before sending it again, or use a request key'
        ),
        outcome=identifiers.Outcome.UNKNOWN,
    )


def deadline_exceeded(kind: identifiers.StatementKind) -> errors.Refusal:
    """Return the refusal for a statement that ran past its deadline."""
    if kind is identifiers.StatementKind.READ:
        return errors.Refusal(
            kind=errors.RefusalKind.DEADLINE,
            message='the read did not end in time; allow more time',
        )
    return unknown('its time ran out')
