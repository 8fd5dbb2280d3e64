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

    Times are in seconds. `processor` is the share of a core that the host
    has, and `link` the bandwidth of its network link in Mbit/s.
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
    link: float
    grace: float
    row_bytes: int
    history: float
    report_interval: float
