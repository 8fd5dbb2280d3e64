"""Reads the settings file that the platform writes for a process."""

import os
import pathlib
import typing

import orjson

from egretstep import clock, errors, identifiers
from egretstep.settings import node

PATH_VARIABLE = 'EGRETSTEP_CONFIG'
DEFAULT_PATH = '/etc/egretstep/node.json'


def path() -> pathlib.Path:
    """Return where the platform has put the settings."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load(source: pathlib.Path, metrics_port: int) -> node.NodeSettings:
    """Read the settings; metrics are served on a port of their own.

    Raises `errors.SettingsError` naming the field that is missing or odd.
    """
    try:
        return _decode(orjson.loads(source.read_bytes()), metrics_port)
    except OSError as error:
        raise errors.SettingsError(f'can not read {source}: {error}') from error
    except KeyError as error:
        raise errors.SettingsError(
            f'{source}: field {error} is missing; the platform writes it',
        ) from error
    except (TypeError, ValueError, IndexError) as error:
        raise errors.SettingsError(f'{source}: {error}') from error


def _decode(
    fields: dict[str, typing.Any],
    metrics_port: int,
) -> node.NodeSettings:
    bound = fields['bind_addrs']
    first_port, _ = fields['internal_ports']
    ip = fields['ip']
    bounds = fields['bounds']
    return node.NodeSettings(
        host=identifiers.HostName(fields['node_name']),
        ip=ip,
        zone=identifiers.ZoneName(fields['zone']),
        callers=node.parse_address(bound['front']),
        readiness=node.parse_address(bound['ready']),
        peers=node.Address(host=ip, port=first_port),
        metrics=node.Address(host=ip, port=metrics_port),
        store=node.parse_address(fields['platform']['address']),
        promotions=node.parse_address(fields['cloud_api']['address']),
        is_first_start=bool(fields['bootstrap']),
        # `cpu_share` is of one core that runs `cores` times as fast.
        processor=fields['limits']['cpu_share'] * fields['limits']['cores'],
        stop_grace_seconds=float(bounds['grace_s']),
        max_settings_delay_seconds=clock.to_seconds(bounds['config_apply_ms']),
        drain_seconds=clock.to_seconds(
            min(bounds['drain_ms'], bounds['evac_ms'])
        ),
    )
