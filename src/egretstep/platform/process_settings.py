"""Settings file that the platform writes for each process."""

import os
import pathlib
import resource
import typing

import orjson

from egretstep import clock, errors, identifiers
from egretstep.settings import node

PATH_VARIABLE = 'EGRETSTEP_CONFIG'
DEFAULT_PATH = '/etc/egretstep/node.json'
# Limits of a platform that does not state them. It states only the bounds of
# the rules that are in force on a deployment.
DEFAULT_STOP_GRACE_SECONDS = 6.0
DEFAULT_MAX_SETTINGS_DELAY_MS = 3000
DEFAULT_DRAIN_MS = 5000
DEFAULT_USAGE_LATE_SECONDS = 10.0
DEFAULT_LEASE_MS = 3000
_USAGE_DUTY = 'usage'
DEFAULT_MEMORY_MB = 512
MAX_FDS_WITHOUT_LIMIT = 65536
_DRAIN_BOUNDS = ('drain_ms', 'evac_ms')


def path() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load(source: pathlib.Path, metrics_port: int) -> node.NodeSettings:
    """Read the settings of this process.

    `metrics_port` comes from the command line, not from the file. Raises
    `errors.SettingsError`, which names the field that is missing or the
    value that is malformed.
    """
    try:
        return _decode(orjson.loads(source.read_bytes()), metrics_port)
    except OSError as error:
        raise errors.SettingsError(f'can not read {source}: {error}') from error
    except KeyError as error:
        raise errors.SettingsError(
            f'{source}: field {error} is missing; the platform must write it',
        ) from error
    except (TypeError, ValueError, IndexError) as error:
        raise errors.SettingsError(f'{source}: {error}') from error


def _decode(
    fields: dict[str, typing.Any],
    metrics_port: int,
) -> node.NodeSettings:
    bind_addresses = fields['bind_addrs']
    first_port, _ = fields['internal_ports']
    ip = fields['ip']
    bounds = fields.get('bounds', {})
    return node.NodeSettings(
        host=identifiers.HostName(fields['node_name']),
        ip=ip,
        zone=identifiers.ZoneName(fields['zone']),
        callers=node.parse_address(bind_addresses['front']),
        readiness=node.parse_address(bind_addresses['ready']),
        peers=node.Address(host=ip, port=first_port),
        metrics=node.Address(host=ip, port=metrics_port),
        store=node.parse_address(fields['platform']['address']),
        promotions=node.parse_address(fields['cloud_api']['address']),
        is_first_start=bool(fields['bootstrap']),
        # `cpu_share` is a share of one core that is `cores` times as fast.
        processor=fields['limits']['cpu_share'] * fields['limits']['cores'],
        stop_grace_seconds=float(
            bounds.get('grace_s', DEFAULT_STOP_GRACE_SECONDS)
        ),
        max_settings_delay_seconds=clock.to_seconds(
            bounds.get('config_apply_ms', DEFAULT_MAX_SETTINGS_DELAY_MS)
        ),
        drain_seconds=_decode_drain_limit(bounds),
        usage=_decode_usage(bounds, fields['cloud_api'].get('duties', ())),
        memory_mb=_decode_positive(
            fields['limits'], 'memory_mb', DEFAULT_MEMORY_MB
        ),
        max_fds=_decode_max_fds(fields['limits']),
    )


def _decode_usage(
    bounds: dict[str, typing.Any],
    duties: typing.Sequence[str],
) -> node.UsageSettings | None:
    """Return the rules for reports of usage, None if none are owed.

    Raises `ValueError` for a window that is not longer than zero.
    """
    if 'report_window_s' not in bounds or _USAGE_DUTY not in duties:
        return None
    window_seconds = float(bounds['report_window_s'])
    if not window_seconds > 0:
        raise ValueError(
            f'report_window_s is {window_seconds}; it must be above 0',
        )
    return node.UsageSettings(
        window_seconds=window_seconds,
        late_seconds=float(
            bounds.get('usage_late_s', DEFAULT_USAGE_LATE_SECONDS)
        ),
        lease_seconds=clock.to_seconds(
            bounds.get('lease_ms', DEFAULT_LEASE_MS)
        ),
    )


def _decode_positive(
    limits: dict[str, typing.Any],
    name: str,
    default: int,
) -> int:
    stated = int(limits.get(name, default))
    if stated <= 0:
        raise ValueError(f'{name} is {stated}; write a number above zero')
    return stated


def _decode_max_fds(limits: dict[str, typing.Any]) -> int:
    """Return the stated number of descriptors, if the process has as many."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        allowed = MAX_FDS_WITHOUT_LIMIT
    return min(allowed, _decode_positive(limits, 'max_fds', allowed))


def _decode_drain_limit(bounds: dict[str, typing.Any]) -> float:
    """Return the shortest stated limit for work on a server that leaves.

    A server leaves alone, or because its availability zone is taken out.
    """
    stated = [bounds[name] for name in _DRAIN_BOUNDS if name in bounds]
    return clock.to_seconds(min(stated, default=DEFAULT_DRAIN_MS))
