"""Decodes the rows by which backend servers register in the store."""

import logbook

from egretstep import identifiers, json_fields
from egretstep.backends import connection
from egretstep.settings import deployment, node
from egretstep.storage import tables

TABLE = 'servers'
MAX_SLOTS = 1_000_000
_ROLES = {role.value: role for role in connection.Role}
# Whether a server in a state is draining.
_STATES = {'ready': False, 'draining': True}
_logger = logbook.Logger('registrations')


def decode_row(row: tables.Row) -> connection.BackendServer | None:
    """Return the server of one row; None if the row is malformed."""
    try:
        return _decode(row, json_fields.JsonFields.decode(row.content))
    except ValueError as error:
        _logger.warning(
            'registration of server {} is malformed and ignored: {}',
            json_fields.quote(row.key),
            error,
        )
        return None


def _decode(
    row: tables.Row, fields: json_fields.JsonFields
) -> connection.BackendServer:
    return connection.BackendServer(
        server=connection.ServerId(json_fields.check_name(row.key, 'key')),
        service=deployment.ServiceName(fields.name('service')),
        address=node.parse_address(fields.text('address')),
        zone=identifiers.ZoneName(fields.name('zone')),
        slots=fields.integer('slots', least=1, most=MAX_SLOTS),
        role=fields.choice('db_role', _ROLES),
        is_draining=fields.choice('state', _STATES),
        # `born` is when the server started, in Unix milliseconds.
        started_ms=fields.integer('born', default=0),
        sequence=fields.integer('sequence', default=0),
        version=row.version,
    )
