"""The view of the fleet that a host's agent sends to its programs."""

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
RETRY_DELAY_SECONDS = 0.1
_logger = logbook.Logger('view')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetView:
    """The settings and the hosts at one time.

    `confirmed_at` is the monotonic time, in seconds, at which the settings
    were last known to be the latest ones. `revision` is that of the agent's
    member table.
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
        """Return the host that should own a database, None without hosts."""
        return self.ownership.owner(database)

    def age(self, now: float) -> float:
        """Return the seconds since the settings were last confirmed."""
        return now - self.confirmed_at


class FleetViewFeed:
    """Requests views from the host's agent and publishes each new one.

    `program` is the name under which the agent knows the caller.
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
        """Return the stream of views; it starts with the next new one."""
        return self._subject

    @property
    def latest(self) -> FleetView | None:
        """Return the latest view, None before the first one."""
        return self._latest

    async def wait_ready(self) -> FleetView:
        """Wait for the first view and return the latest one."""
        await self._ready.wait()
        return typing.cast(FleetView, self._latest)

    def rename(self, program: str) -> None:
        """Use another program name from the next request to the agent on."""
        self._program = program

    async def run(self) -> None:
        """Request views from the agent until cancelled."""
        while True:
            try:
                await self._fetch_view()
            except (errors.LinkError, errors.LinkLostError) as error:
                if self._link.is_open:
                    _logger.warning(
                        'the agent of this host does not answer: {}', error
                    )
                self._link.close()
                await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _fetch_view(self) -> None:
        known = self._latest
        answer = await self._link.call(
            lambda agent: agent.watch(
                settingsVersion=known.version if known else 0,
                membersRevision=known.revision if known else 0,
                program=self._program,
            ),
            timeout=WATCH_TIMEOUT_SECONDS,
        )
        view = _decode_view(answer.view, known, self._ownership)
        if view is None:
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            return
        self._ownership.update(hosts=view.hosts, fleet=view.tree.fleet)
        self._latest = view
        self._ready.set()
        self._subject.on_next(view)


def _decode_view(
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
