"""The operators' configuration of routes, services and workspaces.

It does not depend on the format in which a platform stores it. A
configuration is immutable; each later version replaces it as a whole.
"""

import dataclasses
import enum
import typing

from egretstep import identifiers

ServiceName = typing.NewType('ServiceName', str)


class Consistency(enum.Enum):
    """Consistency of the reads of a route.

    PRIMARY reads see every acknowledged commit. BOUNDED reads see every
    commit that was acknowledged more than the route's `max_staleness` ago.
    SESSION reads also see every commit of their own session.
    """

    PRIMARY = 'primary'
    BOUNDED = 'bounded'
    SESSION = 'session'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A database name for callers, its service, and limits for statements.

    `timeout` limits one statement and `target` is the intended latency of an
    operation, both in seconds. `max_staleness` is in seconds, or None if
    reads go to the primary. An open route serves callers without a key.
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
    """A group of backend servers with one primary.

    A commit is acknowledged once `sync_replicas` replicas have received it.
    """

    name: ServiceName
    connection_limit: int
    sync_replicas: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A workspace with its keys and its rate limit in operations a second.

    `burst` is the capacity of its token bucket, in operations.
    """

    name: identifiers.WorkspaceName
    rate: float
    burst: float
    keys: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """One version of the configuration.

    `transaction_idle` is how many seconds a transaction may stay idle, and
    `zones_out` are the availability zones that take no new work.
    """

    version: identifiers.SettingsVersion
    routes: typing.Mapping[identifiers.DatabaseName, Route]
    services: typing.Mapping[ServiceName, Service]
    workspaces: typing.Mapping[identifiers.WorkspaceName, Workspace]
    workspaces_by_key: typing.Mapping[str, identifiers.WorkspaceName]
    zones_out: frozenset[identifiers.ZoneName] = frozenset()
    transaction_idle: float = 3.0


EMPTY = Deployment(
    version=identifiers.NO_VERSION,
    routes={},
    services={},
    workspaces={},
    workspaces_by_key={},
)
