"""What the programs of a host know of the fleet, fed by the host's agent."""

import asyncio
import dataclasses
import typing

import logbook
import reactivex
from reactivex import subject

from egretstep import clock, errors, identifiers
from egretstep.membership import members, ownership
from egretstep.peers import links, schema
from egretstep.settings import records, tree

WATCH_TIMEOUT_SECONDS = 2.0
RETRY_SECONDS = 0.1
_logger = logbook.Logger('view')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetView:
    """Settings and hosts at one moment.

    `confirmed_at` is the monotonic time, in seconds, at which the settings
    were last known to be the latest ones.
    """

    version: identifiers.SettingsVersion
    tree: tree.SettingsTree
    confirmed_at: float
    hosts: tuple[members.Member, ...]
    revision: int
    ownership: ownership.OwnershipTable

    def owner(
        self,
        database: identifiers.DatabaseName,
    ) -> members.Member | None:
        """Return the host that should own a database."""
        return self.ownership.owner(database)

    def age(self, now: float) -> float:
        """Return for how many seconds the settings are unconfirmed."""
        return now - self.confirmed_at


class FleetViewFeed:
    """Follows the host's agent and publishes each new view.

    Subscribers of `views` get the latest view at once and every later one.
    """

    def __init__(self, *, address: str, port: int, program: str) -> None:
        self._program = program
        self._link = links.Link(
            address=address,
            port=port,
            interface=schema.Agent,
        )
        self._latest: FleetView | None = None
        self._subject: subject.Subject[FleetView] = subject.Subject()
        self._ready = asyncio.Event()
        self._ownership = ownership.OwnershipTable()

    @property
    def views(self) -> reactivex.Observable[FleetView]:
        """Return the stream of views."""
        return self._subject

    @property
    def latest(self) -> FleetView | None:
        """Return the latest view, or none before the first one."""
        return self._latest

    async def wait_ready(self) -> FleetView:
        """Wait for the first view and return the latest one."""
        await self._ready.wait()
        return typing.cast(FleetView, self._latest)

    def rename(self, program: str) -> None:
        """Show another program name to the agent from the next call on."""
        self._program = program

    async def run(self) -> None:
        """Follow the agent until cancelled."""
        while True:
            try:
                await self._watch_once()
            except (errors.LinkError, errors.LinkLostError) as error:
                if self._link.is_open:
                    _logger.warning('agent does not answer: {}', error)
                self._link.close()
                await asyncio.sleep(RETRY_SECONDS)

    async def _watch_once(self) -> None:
        known = self._latest
        answer = await self._link.call(
            lambda agent: agent.watch(
                settingsVersion=known.version if known else 0,
                membersRevision=known.revision if known else 0,
                program=self._program,
            ),
            timeout=WATCH_TIMEOUT_SECONDS,
        )
        view = _read_view(answer.view, known, self._ownership)
        if view is None:
            await asyncio.sleep(RETRY_SECONDS)
            return
        self._ownership.update(hosts=view.hosts, fleet=view.tree.fleet)
        self._latest = view
        self._ready.set()
        self._subject.on_next(view)


def _read_view(
    message: typing.Any,
    known: FleetView | None,
    owners: ownership.OwnershipTable,
) -> FleetView | None:
    version = message.settingsVersion
    if version == 0:
        return None
    if known and version == known.version:
        settings_tree = known.tree
    else:
        record = records.decode(bytes(message.record))
        settings_tree = tree.SettingsTree(fleet=record.fleet())
    if known and message.membersRevision == known.revision:
        hosts = known.hosts
    else:
        hosts = tuple(members.from_message(host) for host in message.members)
    return FleetView(
        version=version,
        tree=settings_tree,
        confirmed_at=clock.to_seconds(message.confirmedAtMs),
        hosts=hosts,
        revision=message.membersRevision,
        ownership=owners,
    )
