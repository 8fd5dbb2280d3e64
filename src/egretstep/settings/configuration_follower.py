"""The operators' configuration in force, from a watched table of the store.

A configuration is never replaced by an earlier version. After a restore of
the store its rows may be older for a moment, until the operator's writes are
repeated.
"""

import asyncio
import dataclasses
import typing

import logbook
from reactivex import subject

from egretstep import errors, identifiers
from egretstep.settings import deployment
from egretstep.storage import tables, watching

# By then the operator's lost writes are in the restored store again.
RESTORED_ROWS_SECONDS = 2.2
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
        self._era = watch.version.era
        self._zones_held: asyncio.TimerHandle | None = None
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
    def version(self) -> identifiers.SettingsVersion:
        """Return the version of the configuration in force."""
        return self.current.version

    @property
    def source(self) -> str:
        """Return the source from which the configuration was received."""
        return self._source

    @property
    def age(self) -> float:
        """Return the seconds since it was confirmed that none is later."""
        return self._watch.age

    def content_after(self, version: identifiers.SettingsVersion) -> bytes:
        """Return the configuration as stored if it is later than a version.

        Empty if it is not.
        """
        return self._content if self.version > version else b''

    def offer(self, content: bytes, *, source: str) -> None:
        """Apply a configuration from another host if it is a later one."""
        self._apply(content, source)

    def _on_rows(self, rows: watching.Rows) -> None:
        is_restored = self._record_era()
        row = rows.get(self._format.key)
        if row is not None:
            self._apply(row.content, self._watch.source)
        if is_restored:
            self._hold_zones()
        if self._zones_held is None:
            self._apply_zones(rows)

    def _record_era(self) -> bool:
        """Return whether the rows are the first ones after a restore."""
        former = self._era
        self._era = self._watch.version.era
        return self._era > former and self.is_known.is_set()

    def _hold_zones(self) -> None:
        """Keep the zones in service until the operator's rows are back."""
        if self._zones_held is not None:
            self._zones_held.cancel()
        _logger.info(
            'the store was restored; zones in service are kept for {} s',
            RESTORED_ROWS_SECONDS,
        )
        loop = asyncio.get_running_loop()
        self._zones_held = loop.call_later(
            RESTORED_ROWS_SECONDS, self._release_zones
        )

    def _release_zones(self) -> None:
        self._zones_held = None
        self._apply_zones(self._watch.rows)

    def _apply_zones(self, rows: watching.Rows) -> None:
        zones = self._format.zones_out(rows)
        if zones != self.current.zones_out:
            _logger.info('availability zones out of service: {}', sorted(zones))
            self.changes.on_next(
                dataclasses.replace(self.current, zones_out=zones),
            )

    def _apply(self, content: bytes, source: str) -> None:
        if content == self._content:
            return
        try:
            decoded = self._format.decode(content)
        except errors.SettingsError as error:
            _logger.error(
                'invalid configuration from {}, keeping version {}: {}',
                source,
                self.version,
                error,
            )
            return
        if decoded.version < self.version:
            _logger.info(
                'configuration version {} from {} is earlier than version '
                '{} and is ignored',
                decoded.version,
                source,
                self.version,
            )
            return
        _logger.info(
            'configuration version {} from {} replaces version {}, which was '
            'last confirmed {:.1f} s before',
            decoded.version,
            source,
            self.version,
            self._watch.unconfirmed_seconds,
        )
        self._content = content
        self.is_known.set()
        self._source = source
        self.changes.on_next(
            dataclasses.replace(decoded, zones_out=self.current.zones_out),
        )
