"""What is known of a statement after an error, and what the caller is told.

"Not run" is said only when the statement was never handed to a server, when
the server itself refused it, or when it was a read, which has no effect.
"""

from egretstep import errors, identifiers
from egretstep.backends import mysql as database

CODE_STALE_TERM = 1290
CODE_READ_ONLY = 1792
CODE_COMMIT_UNKNOWN = 1180
RETRY_AFTER_MS = 200


class StaleError(errors.EgretstepError):
    """A server or term changed before the statement ran; try again."""


def raise_if_judged(error: database.ServerRefusalError) -> None:
    """Raise what a server's refusal means, if it is not the caller's own.

    Raises `StaleError` or `errors.RefusedError`.
    """
    if is_stale(error):
        raise StaleError(str(error)) from error
    if is_unknown(error):
        raise errors.RefusedError(refusal=unknown(error.message)) from error


def is_stale(error: database.ServerRefusalError) -> bool:
    """Tell whether a server refused because its term or role has changed."""
    return error.code in {CODE_STALE_TERM, CODE_READ_ONLY}


def is_unknown(error: database.ServerRefusalError) -> bool:
    """Tell whether a server can't say if a commit took effect."""
    return error.code == CODE_COMMIT_UNKNOWN


def not_owner(database_name: identifiers.DatabaseName) -> errors.Refusal:
    """Make the refusal of a host that does not own a database."""
    return errors.Refusal(
        kind=errors.RefusalKind.NOT_OWNER,
        message=f'this host does not serve {database_name}; try its owner',
        retry_after_ms=RETRY_AFTER_MS,
    )


def unavailable(reason: str) -> errors.Refusal:
    """Make the refusal while no server can run the statement."""
    return errors.Refusal(
        kind=errors.RefusalKind.UNAVAILABLE,
        message=f'the database can not run this now ({reason}); send it again',
        retry_after_ms=RETRY_AFTER_MS,
    )


def transaction_lost(reason: str) -> errors.Refusal:
    """Make the refusal after a transaction was rolled back."""
    return errors.Refusal(
        kind=errors.RefusalKind.TRANSACTION_LOST,
        message=(
            f'the transaction was rolled back ({reason}); '
            'start the whole transaction again'
        ),
        retry_after_ms=RETRY_AFTER_MS,
    )


def unknown(reason: str) -> errors.Refusal:
    """Make the answer for a statement that may have run."""
    return errors.Refusal(
        kind=errors.RefusalKind.OUTCOME_UNKNOWN,
        message=(
            f'the statement may have run ({reason}); look at the data '
            'before sending it again, or use a request key'
        ),
        outcome=identifiers.Outcome.UNKNOWN,
    )


def deadline(kind: identifiers.StatementKind) -> errors.Refusal:
    """Make the answer for a statement whose time ran out while it ran."""
    if kind is identifiers.StatementKind.READ:
        return errors.Refusal(
            kind=errors.RefusalKind.DEADLINE,
            message='the read did not end in time; allow more time',
        )
    return unknown('its time ran out')
