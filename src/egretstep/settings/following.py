"""Follows the operators' configuration, from the store or from other hosts.

A configuration is never replaced by an earlier one.
"""

import asyncio
import dataclasses
import random
import typing

import logbook
from reactivex import subject

from egretstep import errors, identifiers
from egretstep.settings import deployment
from egretstep.storage import tables, watching

ASK_SECONDS = 0.4
_logger = logbook.Logger('configuration')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Format:
    """How a platform keeps the configuration in a table."""

    key: str
    decode: typing.Callable[[bytes], deployment.Deployment]
    zones_out: typing.Callable[
        [typing.Mapping[str, tables.Row]],
        frozenset[identifiers.ZoneName],
    ]


AskHost = typing.Callable[
    [identifiers.HostName, int],
    typing.Awaitable[bytes | None],
]


class ConfigurationFollower:
    """The configuration in force on this host."""

    def __init__(
        self,
        *,
        watch: watching.TableWatch,
        stored_as: Format,
        ask_host: AskHost,
        other_hosts: typing.Callable[[], list[identifiers.HostName]],
    ) -> None:
        self._watch = watch
        self._format = stored_as
        self._ask_host = ask_host
        self._other_hosts = other_hosts
        self._content = b''
        self._source = 'nowhere yet'
        self.changes: subject.BehaviorSubject[deployment.Deployment] = (
            subject.BehaviorSubject(deployment.EMPTY)
        )
        watch.changes.subscribe(self._follow)

    @property
    def current(self) -> deployment.Deployment:
        """Return the configuration in force."""
        return self.changes.value

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.current.version

    @property
    def content(self) -> bytes:
        """Return the configuration as the store keeps it."""
        return self._content

    @property
    def source(self) -> str:
        """Return where the configuration in force came from."""
        return self._source

    async def run(self) -> None:
        """Ask other hosts while the store does not answer."""
        while True:
            await asyncio.sleep(ASK_SECONDS)
            others = self._other_hosts() if self._watch.is_failing else []
            if others:
                host = random.choice(others)
                content = await self._ask_host(host, self.version)
                if content:
                    self._accept(content, source=host)

    def _follow(self, rows: watching.Rows) -> None:
        row = rows.get(self._format.key)
        if row is not None:
            self._accept(row.content, source='the store')
        zones = self._format.zones_out(rows)
        if zones != self.current.zones_out:
            _logger.info('availability zones taken out: {}', sorted(zones))
            self.changes.on_next(
                dataclasses.replace(self.current, zones_out=zones),
            )

    def _accept(self, content: bytes, *, source: str) -> None:
        if content == self._content:
            return
        try:
            decoded = self._format.decode(content)
        except errors.SettingsError as error:
            _logger.error('configuration from {}: {}', source, error)
            return
        if decoded.version <= self.version:
            return
        _logger.info(
            'configuration {} in force, from {} (before: {})',
            decoded.version,
            source,
            self.version,
        )
        self._content = content
        self._source = source
        self.changes.on_next(
            dataclasses.replace(decoded, zones_out=self.current.zones_out),
        )
