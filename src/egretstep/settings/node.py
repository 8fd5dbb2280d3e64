"""Settings of one host, independent of the format they are stored in."""

import dataclasses
import ipaddress

from egretstep import identifiers

MAX_PORT = 65535
MAX_QUOTED_CHARACTERS = 80


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """An IP address with a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as `IP:PORT`."""
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsageSettings:
    """Rules for the reports of usage; all times are in seconds.

    A report is due `late_seconds` after the end of its window, which is
    `window_seconds` long. A new holder waits `lease_seconds` before its first
    report.
    """

    window_seconds: float
    late_seconds: float
    lease_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Addresses, CPU share and time limits of one host.

    `stop_grace_seconds` limits a planned stop. A new configuration must be
    in force within `max_settings_delay_seconds`. A server that is taken out
    of service may get work for `drain_seconds`. `processor` is the CPU
    capacity of the host as a share of one core. `usage` is None if no usage
    is reported; the reports go to the address of `promotions`. The process may
    use `memory_mb` of memory and `max_fds` file descriptors.
    """

    host: identifiers.HostName
    ip: str
    zone: identifiers.ZoneName
    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    store: Address
    promotions: Address
    is_first_start: bool
    processor: float
    stop_grace_seconds: float
    max_settings_delay_seconds: float
    drain_seconds: float
    memory_mb: float
    max_fds: int
    usage: UsageSettings | None = None


def parse_address(text: str) -> Address:
    """Parse `IP:PORT`; raises `ValueError` for anything else."""
    host, _, port = text.rpartition(':')
    try:
        return checked_address(host, int(port))
    except ValueError as error:
        raise ValueError(
            f'{text[:MAX_QUOTED_CHARACTERS]!r} is not an address ({error}); '
            'write it as IP:PORT, such as 10.1.0.5:9464',
        ) from error


def checked_address(host: str, port: int) -> Address:
    """Return an address; raises `ValueError` if nothing can listen there."""
    ipaddress.ip_address(host)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'port {port} is not from 1 to {MAX_PORT}')
    return Address(host=host, port=port)
