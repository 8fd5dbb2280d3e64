"""Chooses a statement's database and checks that the zone accepts work."""

from egretstep import errors, identifiers
from egretstep.callers import keys, refusals
from egretstep.membership import ranking
from egretstep.settings import schema


def choose_database(
    *,
    name: str,
    identity: keys.Identity,
    fleet: schema.FleetSettings,
) -> identifiers.DatabaseName:
    """Return the database to which a caller's statements go.

    `name` is the name of a route or database. If it is empty, the only
    database of the caller's workspace is chosen. Raises
    `errors.RefusedError` when the name is empty and the workspace has none or
    several, or when the workspace may not use the database and the route is
    not open to all.
    """
    workspace = fleet.workspaces.get(identity.workspace)
    allowed = workspace.databases if workspace else []
    if not name and len(allowed) == 1:
        name = allowed[0]
    if not name:
        raise errors.RefusedError(refusal=refusals.no_database(allowed))
    route = fleet.routes.get(name)
    target = route.database if route else name
    if target in allowed or (route and route.open):
        return identifiers.DatabaseName(target)
    raise errors.RefusedError(refusal=refusals.database_denied(name, identity))


def check_zone(
    zone: identifiers.ZoneName,
    fleet: schema.FleetSettings,
) -> None:
    """Check that an availability zone accepts new work.

    Raises `errors.RefusedError` when the operators have taken it out.
    """
    if not ranking.is_zone_in(zone, fleet):
        raise errors.RefusedError(refusal=refusals.zone_out(zone))
