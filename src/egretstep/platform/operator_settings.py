"""Decodes the configuration that the operator keeps in the store."""

import typing

import orjson

from egretstep import clock, errors, identifiers
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
        return _decode(orjson.loads(content))
    except (KeyError, TypeError, ValueError) as error:
        raise errors.SettingsError(
            f'malformed configuration: {error!r}',
        ) from error


FORMAT = configuration_follower.TableFormat(
    key=CONFIGURATION_KEY,
    decode=decode_configuration,
    zones_out=zones_out,
)


def _decode(fields: dict[str, typing.Any]) -> deployment.Deployment:
    routes = (_decode_route(each) for each in fields['routes'])
    services = (_decode_service(each) for each in fields['services'])
    workspaces = [_decode_workspace(each) for each in fields.get('tenants', ())]
    idle_ms = fields.get('limits', {}).get(
        'tx_idle_ms',
        DEFAULT_TRANSACTION_IDLE_MS,
    )
    return deployment.Deployment(
        version=identifiers.SettingsVersion(int(fields['version'])),
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        workspaces={each.name: each for each in workspaces},
        workspaces_by_key={
            key: each.name for each in workspaces for key in each.keys
        },
        transaction_idle=clock.to_seconds(idle_ms),
    )


def _decode_route(fields: dict[str, typing.Any]) -> deployment.Route:
    max_staleness_ms = fields.get('max_staleness_ms')
    return deployment.Route(
        database=identifiers.DatabaseName(fields['database']),
        service=deployment.ServiceName(fields['service']),
        consistency=_CONSISTENCY[fields['route_type']],
        timeout=clock.to_seconds(fields['timeout_ms']),
        target=clock.to_seconds(fields.get('target_latency_ms', 0)),
        priority=fields.get('priority', 1),
        max_staleness=None
        if max_staleness_ms is None
        else clock.to_seconds(max_staleness_ms),
        is_open=bool(fields.get('auth_exempt')),
    )


def _decode_service(fields: dict[str, typing.Any]) -> deployment.Service:
    return deployment.Service(
        name=deployment.ServiceName(fields['name']),
        connection_limit=fields['max_conns'],
    )


def _decode_workspace(fields: dict[str, typing.Any]) -> deployment.Workspace:
    return deployment.Workspace(
        name=identifiers.WorkspaceName(fields['name']),
        rate=float(fields['rate_per_s']),
        burst=float(fields['burst']),
        keys=frozenset(fields.get('api_keys', ())),
    )
