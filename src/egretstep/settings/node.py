"""What one process knows of its host, whatever the format it is told in."""

import dataclasses

from egretstep import identifiers


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """An IP number with a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the usual text form."""
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Addresses, size and times of one host.

    `grace`, the time for a planned stop, and `settings_delay`, the longest
    time until a new configuration must be in force, are in seconds, and so
    is `drain`, for which a server that leaves may get new work.
    `processor` is the share of a core that the host has.
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
    grace: float
    settings_delay: float
    drain: float


def parse_address(text: str) -> Address:
    """Read IP:PORT; raises `ValueError` that quotes what is none."""
    host, colon, port = text.rpartition(':')
    if not colon or not port.isdigit():
        raise ValueError(f'{text!r} is no address; write it as 10.1.0.5:9464')
    return Address(host=host, port=int(port))
