"""Hosts of the fleet as they register themselves in the store.

A host writes its row when it starts and when it begins to leave. Whether it
answers is found out by those who call it.
"""

import dataclasses
import enum
import typing

import logbook
import orjson

from egretstep import clock, errors, identifiers
from egretstep.membership import rendezvous
from egretstep.settings import node
from egretstep.storage import tables

TABLE = 'fleet'
PREFIX = 'host/'
SUSPECT_SECONDS = 1.0
_logger = logbook.Logger('directory')


class HostState(enum.Enum):
    """Whether a host takes new work.

    A host that is gone has ended on plan; its row keeps its boot number.
    """

    UP = 'up'
    LEAVING = 'leaving'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """A host as it registered itself.

    `boot` grows with each start of its process. `processor` is in cores.
    """

    host: identifiers.HostName
    zone: identifiers.ZoneName
    address: node.Address
    boot: int
    processor: float
    state: HostState = HostState.UP


def encode(host: Host) -> bytes:
    """Write a host as the content of its row."""
    return orjson.dumps({
        'host': host.host,
        'zone': host.zone,
        'address': host.address.host,
        'port': host.address.port,
        'boot': host.boot,
        'processor': host.processor,
        'state': host.state.value,
    })


def decode(content: bytes) -> Host | None:
    """Read the content of a row; none if it can't be read."""
    try:
        fields = orjson.loads(content)
        return Host(
            host=identifiers.HostName(fields['host']),
            zone=identifiers.ZoneName(fields['zone']),
            address=node.Address(host=fields['address'], port=fields['port']),
            boot=fields['boot'],
            processor=fields['processor'],
            state=HostState(fields['state']),
        )
    except (KeyError, TypeError, ValueError) as error:
        _logger.warning('unreadable host row {!r}: {!r}', content, error)
        return None


class Directory:
    """The hosts of the fleet, and which of them do not answer.

    `is_registered` tells whether the row of this process is stored; before
    that it takes no task.
    """

    def __init__(
        self,
        *,
        own: Host,
        time_source: clock.Clock,
    ) -> None:
        self._clock = time_source
        self._hosts: dict[identifiers.HostName, Host] = {own.host: own}
        self._decoded: dict[str, tuple[int, Host | None]] = {}
        self._suspected_until: dict[identifiers.HostName, float] = {}
        self._revision = 0
        self._usable: tuple[int, tuple[Host, ...]] = (-1, ())
        self._best: dict[tuple[str, identifiers.ZoneName], Host] = {}
        self.own = own
        self.is_registered = True

    @property
    def revision(self) -> int:
        """Return a number that grows with each change of the usable hosts."""
        self._end_suspicions()
        return self._revision

    @property
    def hosts(self) -> typing.Mapping[identifiers.HostName, Host]:
        """Return all registered hosts by name."""
        return self._hosts

    def others(self) -> list[identifiers.HostName]:
        """Return the other hosts that may answer and count for majorities."""
        return [
            host.host
            for host in self._hosts.values()
            if host.host != self.own.host and host.state is not HostState.GONE
        ]

    def names_up(self) -> list[identifiers.HostName]:
        """Return the hosts that are not leaving."""
        return [
            host.host
            for host in self._hosts.values()
            if host.state is HostState.UP
        ]

    def follow(self, rows: typing.Mapping[str, tables.Row]) -> None:
        """Take over the rows of the store."""
        hosts = {self.own.host: self.own}
        for key, row in rows.items():
            if not key.startswith(PREFIX):
                continue
            host = self._decode(row)
            if host is not None and host.host != self.own.host:
                self._welcome(host)
                hosts[host.host] = host
        if hosts != self._hosts:
            self._hosts = hosts
            self._revision += 1

    def note_registered(self, own: Host) -> None:
        """Remember that the row of this process is stored."""
        self.own = own
        self._hosts = {**self._hosts, own.host: own}
        self._revision += 1
        self.is_registered = True

    def suspect(
        self,
        host: identifiers.HostName,
        reason: str,
        *,
        seconds: float = SUSPECT_SECONDS,
    ) -> None:
        """Avoid a host for a while, since it did not answer."""
        if not self.is_suspected(host):
            _logger.info('host {} is avoided: {}', host, reason)
            self._revision += 1
        until = self._clock.now() + seconds
        known = self._suspected_until.get(host, until)
        self._suspected_until[host] = max(until, known)

    def trust(self, host: identifiers.HostName) -> None:
        """Call a host again at once, since it was heard of."""
        if self._suspected_until.pop(host, None) is not None:
            self._revision += 1

    def is_suspected(self, host: identifiers.HostName) -> bool:
        """Tell whether a host failed to answer lately."""
        until = self._suspected_until.get(host)
        return until is not None and until > self._clock.now()

    def is_usable(self, name: identifiers.HostName) -> bool:
        """Tell whether a host takes new work and answers."""
        host = self._hosts.get(name)
        if host is None or host.state is not HostState.UP:
            return False
        return not self.is_suspected(name)

    def usable(self) -> tuple[Host, ...]:
        """Return the hosts that take new work and answer."""
        revision = self.revision
        if self._usable[0] != revision:
            found = tuple(
                host
                for host in self._hosts.values()
                if self.is_usable(host.host)
            )
            self._usable = (revision, found)
            self._best.clear()
        return self._usable[1]

    def best(self, key: str, zone: identifiers.ZoneName) -> Host:
        """Return the usable host for a key, if possible one of a zone.

        This host is the answer when there is no other.
        """
        usable = self.usable()
        best = self._best.get((key, zone))
        if best is None:
            best = max(
                usable,
                key=lambda host: (
                    host.zone == zone,
                    rendezvous.score(key=key, host=host.host),
                ),
                default=self.own,
            )
            self._best[key, zone] = best
        return best

    def _end_suspicions(self) -> None:
        if not self._suspected_until:
            return
        now = self._clock.now()
        for host, until in tuple(self._suspected_until.items()):
            if until <= now:
                del self._suspected_until[host]
                self._revision += 1

    def _decode(self, row: tables.Row) -> Host | None:
        """Read a row, once for each of its versions."""
        known = self._decoded.get(row.key)
        if known is None or known[0] != row.version:
            known = (row.version, decode(row.content))
            self._decoded[row.key] = known
        return known[1]

    def _welcome(self, host: Host) -> None:
        known = self._hosts.get(host.host)
        if known is not None and known.boot != host.boot:
            self.trust(host.host)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Started:
    """A host that starts, and the table of the fleet before that.

    `replaces` is the version of the row that the host had before.
    """

    own: Host
    fleet: tables.Snapshot
    replaces: int


class Registration:
    """Keeps a host's own row in the store.

    The methods raise `errors.PlatformError` or `errors.ConflictError` when
    the row was not written.
    """

    def __init__(self, *, store: tables.Tables) -> None:
        self._store = store

    async def start(self, starting: Host) -> Started:
        """Read the fleet; the boot number is above that of the last start."""
        fleet = await self._store.read(TABLE)
        key = PREFIX + starting.host
        stored = tables.Row(key=key, content=b'', version=tables.ABSENT_VERSION)
        for row in fleet.rows:
            if row.key == key:
                stored = row
        former = decode(stored.content) if stored.content else None
        boot = former.boot + 1 if former else 1
        return Started(
            own=dataclasses.replace(starting, boot=boot),
            fleet=fleet,
            replaces=stored.version,
        )

    async def register(self, started: Started) -> Host:
        """Write the row of a host that has started; returns what it says.

        A call of an earlier process of this host, or one of this process
        whose answer was lost, may have written it meanwhile.
        """
        own = started.own
        try:
            await self._store.compare_and_swap(
                TABLE,
                PREFIX + own.host,
                expected=started.replaces,
                content=encode(own),
            )
        except errors.ConflictError:
            stored = await self._read(own)
            former = decode(stored.content)
            boot = former.boot + 1 if former else own.boot
            own = dataclasses.replace(own, boot=boot)
            await self._put(stored, own)
        return own

    async def change(self, own: Host, state: HostState) -> None:
        """Write another state of a host, whatever stands there."""
        stored = await self._read(own)
        await self._put(stored, dataclasses.replace(own, state=state))

    async def _read(self, host: Host) -> tables.Row:
        return await self._store.read_row(TABLE, PREFIX + host.host)

    async def _put(self, stored: tables.Row, host: Host) -> None:
        await self._store.compare_and_swap(
            TABLE,
            stored.key,
            expected=stored.version,
            content=encode(host),
        )


WRITE_FAILURES = (errors.PlatformError, errors.ConflictError)
