"""Hosts of the fleet, as registered in the store.

A host writes its row when it starts, when it begins to leave and when it has
ended. The row doesn't say whether the host answers: each other host finds
that out from its own calls. After a restore the store may lack a row or have
an older one, so the latest known state of each host is kept.
"""

import dataclasses
import enum
import random
import typing

import logbook
import orjson

from egretstep import clock, identifiers, json_fields
from egretstep.membership import fencing, rendezvous
from egretstep.settings import node
from egretstep.storage import row_decoding, tables

TABLE = 'fleet'
PREFIX = 'host/'
SUSPECT_SECONDS = 1.0
_logger = logbook.Logger('directory')


class HostState(enum.Enum):
    """Whether a host takes new work.

    A host that is `GONE` was stopped on purpose. Its row stays in the store,
    because the boot number of the next start must be greater.
    """

    UP = 'up'
    LEAVING = 'leaving'
    GONE = 'gone'


_STATES = {state.value: state for state in HostState}
_STATE_ORDER = {state: order for order, state in enumerate(HostState)}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """A registered host.

    `boot` grows with each start of its process. `processor` is the number of
    CPU cores that it has.
    """

    host: identifiers.HostName
    zone: identifiers.ZoneName
    address: node.Address
    boot: int
    processor: float
    state: HostState = HostState.UP

    @property
    def precedence(self) -> tuple[int, int]:
        """Return the sort key: a later state of a host has a greater one."""
        return self.boot, _STATE_ORDER[self.state]


def encode(host: Host) -> bytes:
    """Encode a host as the content of its row."""
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
    """Decode the content of a row; None if it is malformed."""
    try:
        return _decode(json_fields.JsonFields.decode(content))
    except ValueError as error:
        _logger.warning('malformed host row in the store is ignored: {}', error)
        return None


def _decode(fields: json_fields.JsonFields) -> Host:
    return Host(
        host=identifiers.HostName(fields.name('host')),
        zone=identifiers.ZoneName(fields.name('zone')),
        address=node.checked_address(
            fields.text('address'), fields.integer('port')
        ),
        boot=fields.integer('boot'),
        processor=fields.number('processor'),
        state=fields.choice('state', _STATES),
    )


def decode_row(row: tables.Row) -> Host | None:
    """Decode a row; None if it is not one that its host can have written."""
    host = decode(row.content)
    if host is None:
        return None
    is_own = fencing.is_own_row(row, key=PREFIX + host.host, number=host.boot)
    return host if is_own else None


class Directory:
    """The registered hosts, and which of them are suspected to be down.

    `own` is this host. `is_registered` says whether the row of this process
    is stored; before that, this host must not claim tasks.
    """

    def __init__(
        self,
        *,
        own: Host,
        time_source: clock.Clock,
    ) -> None:
        self._clock = time_source
        self._hosts: dict[identifiers.HostName, Host] = {own.host: own}
        self._rows: row_decoding.RowDecoder[Host] = row_decoding.RowDecoder(
            decode=decode_row, prefix=PREFIX
        )
        self._missing_from_store: tuple[Host, ...] = ()
        self._suspected_until: dict[identifiers.HostName, float] = {}
        self._revision = 0
        self._usable_cache: tuple[int, tuple[Host, ...]] = (-1, ())
        self._best_cache: dict[tuple[str, identifiers.ZoneName], Host] = {}
        self.own = own
        self.is_registered = True

    @property
    def revision(self) -> int:
        """Return a number that grows with each change of the usable hosts."""
        self._expire_suspicions()
        return self._revision

    @property
    def hosts(self) -> typing.Mapping[identifiers.HostName, Host]:
        """Return all registered hosts and this one, by name."""
        return self._hosts

    @property
    def missing_from_store(self) -> tuple[Host, ...]:
        """Return the hosts whose latest known state the store has lost."""
        return self._missing_from_store

    def choose_others(self, count: int) -> list[identifiers.HostName]:
        """Return some other usable hosts, at most `count`, at random."""
        names = [
            host.host for host in self.usable() if host.host != self.own.host
        ]
        return random.sample(names, min(count, len(names)))

    def up_host_names(self) -> list[identifiers.HostName]:
        """Return the names of the hosts in state `UP`, this one included."""
        return [
            host.host
            for host in self._hosts.values()
            if host.state is HostState.UP
        ]

    def update(self, rows: typing.Mapping[str, tables.Row]) -> None:
        """Merge the hosts in the rows of the store, later states only.

        Rows of hosts are never deleted, so a host without a row is kept.
        """
        stored = {host.host: host for host in self._rows.decode(rows)}
        hosts = dict(self._hosts)
        for host in stored.values():
            known = hosts.get(host.host)
            if host.host == self.own.host or _is_older(host, known):
                continue
            self._clear_if_restarted(host)
            hosts[host.host] = host
        self._missing_from_store = tuple(
            host
            for host in hosts.values()
            if host.host not in stored or _is_older(stored[host.host], host)
        )
        if hosts != self._hosts:
            self._hosts = hosts
            self._revision += 1

    def mark_registered(self, own: Host) -> None:
        """Set this host as it was registered, once its row is stored."""
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
        """Avoid a host that did not answer, for at least `seconds`."""
        if not self.is_suspected(host):
            _logger.info('host {} is avoided: {}', host, reason)
            self._revision += 1
        until = self._clock.now() + seconds
        known = self._suspected_until.get(host, until)
        self._suspected_until[host] = max(until, known)

    def clear_suspicion(self, host: identifiers.HostName) -> None:
        """Stop avoiding a host, because it is known to be running."""
        if self._suspected_until.pop(host, None) is not None:
            self._revision += 1

    def is_suspected(self, host: identifiers.HostName) -> bool:
        """Return whether a host is avoided because it did not answer."""
        until = self._suspected_until.get(host)
        return until is not None and until > self._clock.now()

    def is_usable(self, name: identifiers.HostName) -> bool:
        """Return whether a host takes new work and is not suspected."""
        host = self._hosts.get(name)
        if host is None or host.state is not HostState.UP:
            return False
        return not self.is_suspected(name)

    def usable(self) -> tuple[Host, ...]:
        """Return the hosts that take new work and are not suspected."""
        revision = self.revision
        if self._usable_cache[0] != revision:
            found = tuple(
                host
                for host in self._hosts.values()
                if self.is_usable(host.host)
            )
            self._usable_cache = (revision, found)
            self._best_cache.clear()
        return self._usable_cache[1]

    def best(self, key: str, zone: identifiers.ZoneName) -> Host:
        """Return the usable host that ranks first for a key.

        Hosts of the availability zone come first. Returns this host if no
        host is usable.
        """
        usable = self.usable()
        best = self._best_cache.get((key, zone))
        if best is None:
            best = max(
                usable,
                key=lambda host: (
                    host.zone == zone,
                    rendezvous.score(key=key, host=host.host),
                ),
                default=self.own,
            )
            self._best_cache[key, zone] = best
        return best

    def _expire_suspicions(self) -> None:
        if not self._suspected_until:
            return
        now = self._clock.now()
        for host, until in tuple(self._suspected_until.items()):
            if until <= now:
                del self._suspected_until[host]
                self._revision += 1

    def _clear_if_restarted(self, host: Host) -> None:
        known = self._hosts.get(host.host)
        if known is not None and known.boot != host.boot:
            self.clear_suspicion(host.host)


def _is_older(host: Host, known: Host | None) -> bool:
    return known is not None and host.precedence < known.precedence
