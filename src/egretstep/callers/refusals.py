"""Refusals that callers get from the entry itself."""

from egretstep import errors, identifiers
from egretstep.callers import keys
from egretstep.pooling import outcomes


def no_key() -> errors.Refusal:
    """Make the refusal on a connection without an accepted key."""
    return errors.Refusal(
        kind=errors.RefusalKind.ACCESS_DENIED,
        message='no key was accepted on this connection; connect again',
    )


def stale_settings() -> errors.Refusal:
    """Make the refusal of a host that can not vouch for its settings."""
    return errors.Refusal(
        kind=errors.RefusalKind.SETTINGS_STALE,
        message=(
            'this host can not tell whether your key still works; '
            'connect to another host'
        ),
        retry_after_ms=outcomes.RETRY_AFTER_MS,
    )


def key_withdrawn(grant: keys.Grant) -> errors.Refusal:
    """Make the refusal for a key that was withdrawn."""
    return errors.Refusal(
        kind=errors.RefusalKind.KEY_WITHDRAWN,
        message=(
            f'the key {grant.key_name!r} of workspace {grant.workspace} was '
            'withdrawn; ask the operators for a new one'
        ),
    )


def no_database(allowed: list[str]) -> errors.Refusal:
    """Make the refusal while no database is chosen."""
    return errors.Refusal(
        kind=errors.RefusalKind.NO_DATABASE,
        message=f'no database is chosen; USE one of {sorted(allowed)}',
    )


def database_denied(name: str, grant: keys.Grant) -> errors.Refusal:
    """Make the refusal of a database that is not the workspace's."""
    return errors.Refusal(
        kind=errors.RefusalKind.DATABASE_DENIED,
        message=(
            f'workspace {grant.workspace} may not use {name!r}; '
            'ask the operators for a route'
        ),
    )


def zone_out(zone: identifiers.ZoneName) -> errors.Refusal:
    """Make the refusal in an availability zone that was taken out."""
    return errors.Refusal(
        kind=errors.RefusalKind.ZONE_OUT,
        message=(
            f'availability zone {zone} takes no new work; '
            'connect again to reach another one'
        ),
    )


def stopping() -> errors.Refusal:
    """Make the refusal of a host that is stopping."""
    return errors.Refusal(
        kind=errors.RefusalKind.STOPPING,
        message='this host is stopping; connect again to reach another one',
    )
