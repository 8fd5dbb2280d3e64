"""Decodes the rows by which backend servers register in the store."""

import typing

import logbook
import orjson

from egretstep import identifiers
from egretstep.backends import connection
from egretstep.settings import deployment, node
from egretstep.storage import tables

TABLE = 'servers'
# Raised for malformed bytes, wrong types and missing fields.
_DECODE_ERRORS = (AttributeError, KeyError, TypeError, ValueError)
_STATES = ('ready', 'draining')
_logger = logbook.Logger('registrations')


def decode(
    rows: typing.Mapping[str, tables.Row],
) -> dict[connection.ServerId, connection.BackendServer]:
    """Return the servers of the table's rows, without malformed rows."""
    servers = {}
    for key, row in rows.items():
        server = decode_row(key, row.content)
        if server is not None:
            servers[server.server] = server
    return servers


def decode_row(key: str, content: bytes) -> connection.BackendServer | None:
    """Return the server of one row; None if the row is malformed."""
    try:
        return _decode(key, orjson.loads(content))
    except _DECODE_ERRORS as error:
        _logger.warning(
            'registration of server {} is malformed and ignored: {!r}',
            key,
            error,
        )
        return None


def _decode(
    key: str,
    fields: dict[str, typing.Any],
) -> connection.BackendServer:
    state = fields['state']
    if state not in _STATES:
        raise ValueError(f'unknown state {state!r}; valid are {_STATES}')
    slots = fields['slots']
    if isinstance(slots, bool) or not isinstance(slots, int) or slots < 1:
        raise ValueError(f'slots is {slots!r}, not a positive integer')
    for name in ('service', 'zone', 'address'):
        if not isinstance(fields[name], str):
            raise TypeError(f'{name} is {fields[name]!r}, not a string')
    return connection.BackendServer(
        server=connection.ServerId(key),
        service=deployment.ServiceName(fields['service']),
        address=node.parse_address(fields['address']),
        zone=identifiers.ZoneName(fields['zone']),
        slots=slots,
        role=connection.Role(fields['db_role']),
        is_draining=state == 'draining',
        # `born` is when the server started, in Unix milliseconds.
        started_ms=int(fields.get('born') or 0),
        sequence=int(fields.get('sequence') or 0),
    )
