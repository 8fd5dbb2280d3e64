"""The operators' configuration in force, from a watched table of the store.

A configuration is never replaced by an earlier version.
"""

import asyncio
import dataclasses
import typing

import logbook
from reactivex import subject

from egretstep import errors, identifiers
from egretstep.settings import deployment
from egretstep.storage import tables, watching

_logger = logbook.Logger('configuration')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TableFormat:
    """How a platform stores the configuration in a table.

    `key` is the row of the configuration, `decode` raises
    `errors.SettingsError` for invalid content, and `zones_out` returns the
    availability zones that the rows take out of service.
    """

    key: str
    decode: typing.Callable[[bytes], deployment.Deployment]
    zones_out: typing.Callable[
        [typing.Mapping[str, tables.Row]],
        frozenset[identifiers.ZoneName],
    ]


class ConfigurationFollower:
    """Holds the latest configuration that this host has received.

    `changes` emits each new configuration. `is_known` is set once there is a
    configuration.
    """

    def __init__(
        self,
        *,
        watch: watching.TableWatch,
        table_format: TableFormat,
    ) -> None:
        self._watch = watch
        self._format = table_format
        self._content = b''
        self._source = 'nowhere yet'
        self.is_known = asyncio.Event()
        self.changes: subject.BehaviorSubject[deployment.Deployment] = (
            subject.BehaviorSubject(deployment.EMPTY)
        )
        watch.changes.subscribe(self._on_rows)

    @property
    def current(self) -> deployment.Deployment:
        """Return the configuration in force."""
        return self.changes.value

    @property
    def version(self) -> int:
        """Return the version of the configuration in force."""
        return self.current.version

    @property
    def source(self) -> str:
        """Return the source from which the configuration was received."""
        return self._source

    def _on_rows(self, rows: watching.Rows) -> None:
        row = rows.get(self._format.key)
        if row is not None:
            self._apply(row.content)
        zones = self._format.zones_out(rows)
        if zones != self.current.zones_out:
            _logger.info('availability zones out of service: {}', sorted(zones))
            self.changes.on_next(
                dataclasses.replace(self.current, zones_out=zones),
            )

    def _apply(self, content: bytes) -> None:
        if content == self._content:
            return
        try:
            decoded = self._format.decode(content)
        except errors.SettingsError as error:
            _logger.error(
                'invalid configuration from {}, keeping version {}: {}',
                self._watch.source,
                self.version,
                error,
            )
            return
        if decoded.version <= self.version:
            _logger.info(
                'configuration version {} from {} is not later than version '
                '{} and is ignored',
                decoded.version,
                self._watch.source,
                self.version,
            )
            return
        _logger.info(
            'configuration version {} from {} replaces version {}',
            decoded.version,
            self._watch.source,
            self.version,
        )
        self._content = content
        self.is_known.set()
        self._source = self._watch.source
        self.changes.on_next(
            dataclasses.replace(decoded, zones_out=self.current.zones_out),
        )
