"""Where a caller's statement goes, and whether it is taken here."""

from egretstep import errors, identifiers
from egretstep.callers import keys, refusals
from egretstep.membership import ranking
from egretstep.settings import schema


def choose_database(
    *,
    name: str,
    grant: keys.Grant,
    fleet: schema.FleetSettings,
) -> identifiers.DatabaseName:
    """Return the database that a caller means by a name, or by none.

    Raises `errors.RefusedError` when there are several to choose from, or
    when the caller's workspace may not use it.
    """
    own = fleet.workspaces.get(grant.workspace)
    allowed = own.databases if own else []
    if not name and len(allowed) == 1:
        name = allowed[0]
    if not name:
        raise errors.RefusedError(refusal=refusals.no_database(allowed))
    route = fleet.routes.get(name)
    target = route.database if route else name
    if target in allowed or (route and route.open):
        return identifiers.DatabaseName(target)
    raise errors.RefusedError(refusal=refusals.database_denied(name, grant))


def check_zone(
    zone: identifiers.ZoneName,
    fleet: schema.FleetSettings,
) -> None:
    """Raise `errors.RefusedError` where a zone takes no new work."""
    if not ranking.is_zone_in(zone, fleet):
        raise errors.RefusedError(refusal=refusals.zone_out(zone))
