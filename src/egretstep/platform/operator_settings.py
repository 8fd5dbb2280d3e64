"""Decodes the configuration that the operator keeps in the store."""

import typing

from egretstep import clock, errors, identifiers, json_fields
from egretstep.settings import configuration_follower, deployment
from egretstep.storage import tables

TABLE = 'op'
CONFIGURATION_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'
_CONSISTENCY = {
    'primary': deployment.Consistency.PRIMARY,
    'bounded_staleness': deployment.Consistency.BOUNDED,
    'read_your_writes': deployment.Consistency.SESSION,
}
DEFAULT_TRANSACTION_IDLE_MS = 3000
MAX_PRIORITY = 255
MAX_DURATION_MS = 24 * 60 * 60 * 1000
_Entry = typing.TypeVar('_Entry')


def zones_out(
    rows: typing.Mapping[str, tables.Row],
) -> frozenset[identifiers.ZoneName]:
    """Return the availability zones that the operator has evacuated."""
    return frozenset(
        identifiers.ZoneName(key.removeprefix(EVACUATION_PREFIX))
        for key in rows
        if key.startswith(EVACUATION_PREFIX)
    )


def decode_configuration(content: bytes) -> deployment.Deployment:
    """Decode one version of the configuration.

    Raises `errors.SettingsError` when it is malformed.
    """
    try:
        return _decode(json_fields.JsonFields.decode(content))
    except errors.MalformedFieldError as error:
        raise errors.SettingsError(
            f'malformed configuration: {error}; the operator must write a '
            'valid one',
        ) from error


FORMAT = configuration_follower.TableFormat(
    key=CONFIGURATION_KEY,
    decode=decode_configuration,
    zones_out=zones_out,
)


def _decode(fields: json_fields.JsonFields) -> deployment.Deployment:
    routes = [
        _decode_named(each, 'database', _decode_route)
        for each in fields.objects('routes')
    ]
    services = [
        _decode_named(each, 'name', _decode_service)
        for each in fields.objects('services')
    ]
    workspaces = [
        _decode_named(each, 'name', _decode_workspace)
        for each in fields.objects('tenants', is_optional=True)
    ]
    idle_ms = fields.nested('limits').number(
        'tx_idle_ms',
        most=MAX_DURATION_MS,
        default=DEFAULT_TRANSACTION_IDLE_MS,
    )
    return deployment.Deployment(
        version=identifiers.SettingsVersion(fields.integer('version')),
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        workspaces={each.name: each for each in workspaces},
        workspaces_by_key={
            key: each.name for each in workspaces for key in each.keys
        },
        transaction_idle=clock.to_seconds(idle_ms),
    )


def _decode_named(
    fields: json_fields.JsonFields,
    name_field: str,
    decode: typing.Callable[[json_fields.JsonFields], _Entry],
) -> _Entry:
    """Decode an entry; an error names it by one of its fields."""
    name = fields.text(name_field)
    try:
        return decode(fields)
    except errors.MalformedFieldError as error:
        raise errors.MalformedFieldError(
            f'{name_field} {json_fields.quote(name)}: {error}',
        ) from error


def _decode_route(fields: json_fields.JsonFields) -> deployment.Route:
    max_staleness = None
    if fields.has('max_staleness_ms'):
        max_staleness = clock.to_seconds(
            fields.number('max_staleness_ms', most=MAX_DURATION_MS)
        )
    return deployment.Route(
        database=identifiers.DatabaseName(fields.name('database')),
        service=deployment.ServiceName(fields.name('service')),
        consistency=fields.choice('route_type', _CONSISTENCY),
        timeout=clock.to_seconds(
            fields.number('timeout_ms', least=1, most=MAX_DURATION_MS)
        ),
        target=clock.to_seconds(
            fields.number('target_latency_ms', most=MAX_DURATION_MS, default=0)
        ),
        priority=fields.integer('priority', most=MAX_PRIORITY, default=1),
        max_staleness=max_staleness,
        is_open=fields.flag('auth_exempt', default=False),
    )


def _decode_service(fields: json_fields.JsonFields) -> deployment.Service:
    return deployment.Service(
        name=deployment.ServiceName(fields.name('name')),
        connection_limit=fields.integer('max_conns', least=1),
        sync_replicas=fields.integer('sync_replicas', default=0),
    )


def _decode_workspace(
    fields: json_fields.JsonFields,
) -> deployment.Workspace:
    return deployment.Workspace(
        name=identifiers.WorkspaceName(fields.name('name')),
        rate=fields.number('rate_per_s'),
        burst=fields.number('burst'),
        keys=frozenset(fields.texts('api_keys', is_optional=True)),
    )
