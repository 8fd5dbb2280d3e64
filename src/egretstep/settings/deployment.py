"""The operators' configuration of routes, services and workspaces.

It is neutral of the format in which a platform keeps it. A configuration is
read whole and never changed; a later one replaces it.
"""

import dataclasses
import enum
import typing

from egretstep import identifiers

ServiceName = typing.NewType('ServiceName', str)


class Consistency(enum.Enum):
    """What the reads of a route must have seen.

    PRIMARY reads see every acknowledged commit. BOUNDED reads see every
    commit that was acknowledged longer ago than the route's staleness.
    SESSION reads see that and also every commit of their own session.
    """

    PRIMARY = 'primary'
    BOUNDED = 'bounded'
    SESSION = 'session'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A database name that callers use, and how its statements run.

    `timeout` limits one statement and `target` is the aim for an operation,
    both in seconds. `max_staleness` is in seconds, and none where reads go
    to the primary.
    """

    database: identifiers.DatabaseName
    service: ServiceName
    consistency: Consistency
    timeout: float
    target: float
    priority: int = 1
    max_staleness: float | None = None
    is_open: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A group of backend servers with one primary."""

    name: ServiceName
    connection_limit: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A workspace with its rate of operations a second and its burst."""

    name: identifiers.WorkspaceName
    rate: float
    burst: float
    keys: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """One version of the configuration.

    `transaction_idle` is how many seconds a transaction may rest.
    """

    version: identifiers.SettingsVersion
    routes: typing.Mapping[identifiers.DatabaseName, Route]
    services: typing.Mapping[ServiceName, Service]
    workspaces: typing.Mapping[identifiers.WorkspaceName, Workspace]
    owners_of_keys: typing.Mapping[str, identifiers.WorkspaceName]
    zones_out: frozenset[identifiers.ZoneName] = frozenset()
    transaction_idle: float = 3.0


EMPTY = Deployment(
    version=identifiers.NO_VERSION,
    routes={},
    services={},
    workspaces={},
    owners_of_keys={},
)
