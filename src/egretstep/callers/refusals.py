"""Refusals that an entry makes without asking the database's owner."""

from egretstep import errors, identifiers
from egretstep.callers import keys
from egretstep.pooling import outcomes


def no_key() -> errors.Refusal:
    """Return the refusal for a connection that is not authenticated."""
    return errors.Refusal(
        kind=errors.RefusalKind.ACCESS_DENIED,
        message='no key was accepted on this connection; connect again',
    )


def stale_settings() -> errors.Refusal:
    """Return the refusal of a host whose settings are stale."""
    return errors.Refusal(
        kind=errors.RefusalKind.SETTINGS_STALE,
        message=(
            'this host can not tell whether your key still works; '
            'connect to another host'
        ),
        retry_after_ms=outcomes.RETRY_AFTER_MS,
    )


def key_withdrawn(identity: keys.Identity) -> errors.Refusal:
    """Return the refusal for a key that was withdrawn."""
    return errors.Refusal(
        kind=errors.RefusalKind.KEY_WITHDRAWN,
        message=(
            f'the key {identity.key_name!r} of workspace '
            f'{identity.workspace} was withdrawn; ask the operators for a new one'
        ),
    )


def no_database(allowed: list[str]) -> errors.Refusal:
    """Return the refusal for a statement without a default database."""
    return errors.Refusal(
        kind=errors.RefusalKind.NO_DATABASE,
        message=f'no database is chosen; USE one of {sorted(allowed)}',
    )


def database_denied(name: str, identity: keys.Identity) -> errors.Refusal:
    """Return the refusal for a database that the workspace may not use."""
    return errors.Refusal(
        kind=errors.RefusalKind.DATABASE_DENIED,
        message=(
            f'workspace {identity.workspace} may not use {name!r}; '
            'ask the operators for a route'
        ),
    )


def zone_out(zone: identifiers.ZoneName) -> errors.Refusal:
    """Return the refusal of an availability zone that was taken out."""
    return errors.Refusal(
        kind=errors.RefusalKind.ZONE_OUT,
        message=(
            f'availability zone {zone} takes no new work; '
            'connect again to reach another one'
        ),
    )


def stopping() -> errors.Refusal:
    """Return the refusal of a host that is stopping."""
    return errors.Refusal(
        kind=errors.RefusalKind.STOPPING,
        message='this host is stopping; connect again to reach another one',
    )
