"""Schema of the settings of the fleet and of the settings of one host.

Both are YAML documents that are validated as a whole before they are used.
The fleet's settings are a tree in which availability zones, databases and
workspaces inherit the fleet's defaults; see `egretstep.settings.tree`. The
docstrings of the models are part of docs/CONFIGURATION.md.
"""

import enum
import ipaddress
import re
import typing

import pydantic

from egretstep.pooling import queueing

MAX_PORT = 65535
NAME_PATTERN = '^[a-zA-Z0-9][a-zA-Z0-9_.-]{0,63}$'
PEER_PATTERN = r'^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$'
DIGEST_PATTERN = re.compile('^[0-9a-f]{40}$')

Port = typing.Annotated[int, pydantic.Field(ge=1, le=MAX_PORT)]
Name = typing.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Peer = typing.Annotated[str, pydantic.Field(pattern=PEER_PATTERN)]
Positive = typing.Annotated[int, pydantic.Field(gt=0)]
PositiveNumber = typing.Annotated[float, pydantic.Field(gt=0)]


class Model(pydantic.BaseModel):
    """Base of all settings: immutable, and unknown names are errors."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class AvailabilityState(enum.Enum):
    """Whether an availability zone, a server or a host takes new work."""

    IN = 'in'
    OUT = 'out'


class ReadPolicy(enum.Enum):
    """Which servers serve reads.

    The policies other than `session` are baselines for measurements.
    """

    SESSION = 'session'
    PRIMARY = 'primary'
    RANDOM_REPLICA = 'random-replica'


class Tunables(Model):
    """Values that each level inherits unless it sets its own.

    `rate` is in statements a second and `burst` in statements; both limit a
    workspace over the whole fleet. Times are in milliseconds.
    """

    rate: PositiveNumber | None = None
    burst: Positive | None = None
    weight: PositiveNumber | None = None
    request_timeout_ms: Positive | None = None
    replica_wait_ms: Positive | None = None
    read_policy: ReadPolicy | None = None
    queue_policy: queueing.QueuePolicy | None = None


class ZoneTunables(Tunables):
    """Values that an availability zone sets for requests that enter there.

    A zone can't set the rate, burst, weight and queue policy, because these
    apply to the whole fleet.
    """

    @pydantic.model_validator(mode='after')
    def _reject_fleet_wide_values(self) -> 'ZoneTunables':
        fleet_wide = {'rate', 'burst', 'weight', 'queue_policy'}
        wrong = sorted(fleet_wide & self.model_fields_set)
        if wrong:
            raise ValueError(
                f'{", ".join(wrong)} can not differ by availability zone; '
                'set it for the fleet, a database or a workspace',
            )
        return self


class Zone(Model):
    """An availability zone: its region, and whether it takes new work."""

    region: str = 'default'
    state: AvailabilityState = AvailabilityState.IN
    defaults: ZoneTunables = ZoneTunables()


class Server(Model):
    """A database server by IP address; `state: out` keeps new work away."""

    zone: str
    address: str
    port: Port
    state: AvailabilityState = AvailabilityState.IN

    @pydantic.field_validator('address')
    @classmethod
    def _check_ip_address(cls, address: str) -> str:
        ipaddress.ip_address(address)
        return address


class Database(Model):
    """A database: a group of servers, one of which is the primary.

    Each server runs up to `slots` statements at the same time and accepts up
    to `connections` connections.
    """

    servers: dict[Name, Server] = pydantic.Field(min_length=1)
    slots: Positive = 2
    connections: Positive = 20
    state: AvailabilityState = AvailabilityState.IN
    defaults: Tunables = Tunables()


class KeyState(enum.Enum):
    """Whether a caller's key is accepted."""

    ACTIVE = 'active'
    WITHDRAWN = 'withdrawn'


class Key(Model):
    """A caller's key, stored as the digest that MySQL authentication needs."""

    digest: str
    state: KeyState = KeyState.ACTIVE

    @pydantic.field_validator('digest')
    @classmethod
    def _check_digest(cls, digest: str) -> str:
        if not DIGEST_PATTERN.match(digest):
            raise ValueError(
                'a digest is 40 hexadecimal digits; '
                'make one with `egretstep key digest`',
            )
        return digest


class Workspace(Model):
    """A workspace: its databases, keys, and values that it does not inherit.

    The owner of the first database enforces the workspace's rate and burst.
    """

    databases: list[str] = pydantic.Field(min_length=1)
    keys: dict[Name, Key] = {}
    defaults: Tunables = Tunables()


class Route(Model):
    """The database that callers select by the route's name in USE.

    A route with `open: true` also serves callers that have no key.
    """

    database: str
    open: bool = False


class FleetSettings(Model):
    """All settings of the fleet; operators change them as one document."""

    defaults: Tunables = Tunables()
    zones: dict[Name, Zone] = pydantic.Field(min_length=1)
    databases: dict[Name, Database] = pydantic.Field(min_length=1)
    workspaces: dict[Name, Workspace] = {}
    routes: dict[Name, Route] = {}
    witnesses: list[Name] = []

    @pydantic.model_validator(mode='after')
    def _check_references(self) -> 'FleetSettings':
        problems = [
            *self._find_unknown_zones(),
            *self._find_unknown_databases(),
        ]
        if problems:
            raise ValueError('; '.join(problems))
        return self

    def _find_unknown_zones(self) -> list[str]:
        known = sorted(self.zones)
        return [
            f'databases.{name}.servers.{server_name}.zone: {server.zone!r} '
            f'is not an availability zone; one of {known}'
            for name, database in self.databases.items()
            for server_name, server in database.servers.items()
            if server.zone not in self.zones
        ]

    def _find_unknown_databases(self) -> list[str]:
        known = sorted(self.databases)
        used = [
            (f'workspaces.{name}.databases', database)
            for name, workspace in self.workspaces.items()
            for database in workspace.databases
        ]
        used.extend(
            (f'routes.{name}.database', route.database)
            for name, route in self.routes.items()
        )
        return [
            f'{path}: {database!r} is not a database; one of {known}'
            for path, database in used
            if database not in self.databases
        ]


class HostSettings(Model):
    """Settings that the processes of a host read when they start.

    `peers` are addresses of other hosts' agents, used while the platform's
    service is down. `database_user` is the user as which the system
    connects to the database servers.
    """

    host: Name
    zone: Name
    address: str
    caller_port: Port
    pool_port: Port
    agent_port: Port
    operator_port: Port
    metrics_port: Port | None = None
    pool_metrics_port: Port | None = None
    entry_metrics_port: Port | None = None
    platform_url: str
    database_user: str = 'egretstep'
    database_password: str = ''
    peers: list[Peer] = []
    operator_token: str = ''
    trace_sample: float = 0
    certificate: str | None = None
    certificate_key: str | None = None
    log_format: typing.Literal['text', 'json'] = 'text'
