"""Inheritance of settings: fleet, availability zone, database, workspace.

A value is taken from the most specific level that sets it: the workspace,
the database, the availability zone, the fleet, then the built-in default.
"""

import dataclasses
import functools
import typing

from egretstep import identifiers
from egretstep.pooling import queueing
from egretstep.settings import schema

DEFAULT_RATE = 1000
DEFAULT_BURST = 500
DEFAULT_REQUEST_TIMEOUT_MS = 5000
DEFAULT_REPLICA_WAIT_MS = 50
BUILT_IN_DEFAULTS = schema.Tunables(
    rate=DEFAULT_RATE,
    burst=DEFAULT_BURST,
    weight=1,
    request_timeout_ms=DEFAULT_REQUEST_TIMEOUT_MS,
    replica_wait_ms=DEFAULT_REPLICA_WAIT_MS,
    read_policy=schema.ReadPolicy.SESSION,
    queue_policy=queueing.QueuePolicy.FAIR,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """A value in force and the path of the level that sets it."""

    name: str
    setting: typing.Any
    level: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EffectiveSettings:
    """All values in force for one workspace on one database."""

    rate: float
    burst: int
    weight: float
    request_timeout_ms: int
    replica_wait_ms: int
    read_policy: schema.ReadPolicy
    queue_policy: queueing.QueuePolicy


class SettingsTree:
    """Resolves inherited values in the fleet's settings.

    >>> from egretstep.settings import loader
    >>> fleet = schema.FleetSettings(
    ...     zones={'north': schema.Zone()},
    ...     databases={
    ...         'loans': schema.Database(
    ...             servers={
    ...                 'loans-1': schema.Server(
    ...                     zone='north', address='127.0.0.1', port=3306
    ...                 )
    ...             }
    ...         )
    ...     },
    ...     workspaces={'clinic': schema.Workspace(databases=['loans'])},
    ... )
    >>> tree = SettingsTree(fleet=fleet)
    >>> tree.explain(name='rate', workspace='clinic', database='loans').level
    'built-in'
    """

    def __init__(self, *, fleet: schema.FleetSettings) -> None:
        self._fleet = fleet
        self._effective = functools.lru_cache(maxsize=None)(
            self._compute_effective,
        )

    @property
    def fleet(self) -> schema.FleetSettings:
        """Return the settings that this tree reads."""
        return self._fleet

    def effective(
        self,
        *,
        workspace: identifiers.WorkspaceName,
        database: identifiers.DatabaseName,
        zone: identifiers.ZoneName | None = None,
    ) -> EffectiveSettings:
        """Return all values in force.

        The level of an unknown name is skipped.
        """
        return self._effective(workspace, database, zone)

    def explain(
        self,
        *,
        name: str,
        workspace: str = '',
        database: str = '',
        zone: str | None = None,
    ) -> Explanation:
        """Return one value and the level that sets it.

        Raises `KeyError` if `name` is not a field of `schema.Tunables`.
        """
        if name not in schema.Tunables.model_fields:
            raise KeyError(name)
        for level, tunables in self._levels(workspace, database, zone):
            setting = getattr(tunables, name)
            if setting is not None:
                return Explanation(name=name, setting=setting, level=level)
        raise KeyError(name)

    def _levels(
        self,
        workspace: str,
        database: str,
        zone: str | None,
    ) -> typing.Iterator[tuple[str, schema.Tunables]]:
        fleet = self._fleet
        if workspace in fleet.workspaces:
            yield (
                f'workspaces.{workspace}',
                fleet.workspaces[workspace].defaults,
            )
        if database in fleet.databases:
            yield f'databases.{database}', fleet.databases[database].defaults
        if zone in fleet.zones:
            yield f'zones.{zone}', fleet.zones[zone].defaults
        yield 'fleet', fleet.defaults
        yield 'built-in', BUILT_IN_DEFAULTS

    def _compute_effective(
        self,
        workspace: str,
        database: str,
        zone: str | None,
    ) -> EffectiveSettings:
        resolved = {
            name: self.explain(
                name=name,
                workspace=workspace,
                database=database,
                zone=zone,
            ).setting
            for name in schema.Tunables.model_fields
        }
        return EffectiveSettings(**resolved)
