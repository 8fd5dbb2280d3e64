"""A database group as its owner sees it: servers, term, lease, samples."""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.backends import mysql as database_module
from egretstep.replication import election, floors, lease, monitor, staleness
from egretstep.settings import schema
from egretstep.storage import interfaces
from egretstep.supervision import supervisor

STRAGGLER_WAIT_SECONDS = 0.03
_logger = logbook.Logger('group')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tenure:
    """A term that this host owns, with its primary and its lease."""

    term: identifiers.Term
    primary: identifiers.ServerName
    lease: lease.MajorityLease


class DatabaseGroup:
    """Monitors and controls the servers of one database from this host.

    `user` and `password` are the credentials for all servers.
    """

    def __init__(
        self,
        *,
        database: identifiers.DatabaseName,
        settings: schema.Database,
        owner: str,
        user: str,
        password: str,
        time_source: clock.Clock,
    ) -> None:
        self._database = database
        self._settings = settings
        self._owner = owner
        self._clock = time_source
        self._tenure: Tenure | None = None
        self._claimed_term = identifiers.NO_TERM
        self._followed_terms: dict[
            identifiers.ServerName, identifiers.Term
        ] = {}
        self.floors = floors.SessionFloors()
        self.staleness = staleness.StalenessTracker(time_source=time_source)
        self.endpoints = {
            identifiers.ServerName(name): database_module.Endpoint(
                address=server.address,
                port=server.port,
                user=user,
                password=password,
            )
            for name, server in settings.servers.items()
        }
        self._monitors = {
            name: monitor.ServerMonitor(
                name=name,
                control=database_module.MySqlControl(
                    endpoint=endpoint,
                    server=name,
                ),
                owner=owner,
                time_source=time_source,
                on_status=self._on_status,
            )
            for name, endpoint in self.endpoints.items()
        }
        self._superseded = asyncio.Event()
        self._late_fences: set[asyncio.Task[typing.Any]] = set()

    @property
    def database(self) -> identifiers.DatabaseName:
        """Return the name of the database."""
        return self._database

    @property
    def tenure(self) -> Tenure | None:
        """Return the term in which this host serves, or None."""
        return self._tenure

    @property
    def is_claiming(self) -> bool:
        """Return whether this host has been promised a term but serves none."""
        term, owner = self.promised()
        return self._tenure is None and term > 0 and owner == self._owner

    @property
    def monitors(self) -> list[monitor.ServerMonitor]:
        """Return the monitors of all servers."""
        return list(self._monitors.values())

    @property
    def superseded(self) -> asyncio.Event:
        """Return the event that is set when another owner has a later term."""
        return self._superseded

    def monitor_of(
        self,
        server: identifiers.ServerName,
    ) -> monitor.ServerMonitor:
        """Return the monitor of a server; `KeyError` if it is unknown."""
        return self._monitors[server]

    def children(self) -> list[supervisor.Child]:
        """Return the monitors as children of a supervisor."""
        return [
            supervisor.Child(
                name=f'monitor-{server_monitor.name}', run=server_monitor.run
            )
            for server_monitor in self.monitors
        ]

    def is_primary_up(self) -> bool:
        """Return whether the primary of this term is up and still primary."""
        if self._tenure is None:
            return False
        server_monitor = self._monitors[self._tenure.primary]
        status = server_monitor.status
        return server_monitor.is_up and status is not None and status.primary

    def may_serve(self, server: identifiers.ServerName) -> bool:
        """Return whether the settings let a server take new work."""
        return (
            self._settings.servers[server].state is schema.AvailabilityState.IN
        )

    def promised(self) -> tuple[identifiers.Term, str]:
        """Return the highest term promised by any server, and its owner."""
        return max(
            (
                (status.promised_term, status.promised_owner)
                for status in self._known_statuses()
            ),
            default=(identifiers.NO_TERM, ''),
        )

    async def claim(
        self,
        *,
        preferred: typing.Collection[identifiers.ServerName],
    ) -> tuple[Tenure, float]:
        """Fence a majority at a new term and promote a primary.

        Servers in `preferred` win ties between equally advanced servers.
        Returns the tenure and the monotonic time by which a majority had
        promised the term. Raises `errors.DatabaseServerError` when no
        majority promises it or the promotion fails; the next call uses a
        higher term.
        """
        term = election.next_term(self._known_statuses())
        term = identifiers.Term(max(term, self._claimed_term + 1))
        self._claimed_term = term
        majority_lease = lease.MajorityLease(
            servers=list(self._monitors),
            time_source=self._clock,
        )
        fenced = await self._fence_all(term, majority_lease)
        fenced_at = self._clock.now()
        chosen = election.choose_primary(
            fenced=fenced,
            group_size=len(self._monitors),
            preferred=preferred,
        )
        if chosen is None:
            raise errors.DatabaseServerError(
                f'database {self._database}: only {len(fenced)} of '
                f'{len(self._monitors)} servers promised term {term}, '
                'which is no majority; start the other servers',
            )
        status = await self._monitors[chosen.server].control.promote(
            term=term,
            owner=self._owner,
        )
        if not status.accepted:
            raise errors.DatabaseServerError(
                f'server {chosen.server} refused promotion in term {term}; '
                'another owner has claimed a later term',
            )
        self._monitors[chosen.server].record_status(status)
        tenure = Tenure(term=term, primary=chosen.server, lease=majority_lease)
        await self._start_term(tenure, status, fenced)
        return tenure, fenced_at

    def start_serving(self, tenure: Tenure) -> None:
        """Start serving in the term of a tenure.

        Answers of the former primary are not passed on any more, although
        the lease of the former term may not have expired.
        """
        if self._tenure is not None and self._tenure is not tenure:
            self._tenure.lease.release()
        self._superseded.clear()
        self._tenure = tenure

    def stop_serving(self) -> None:
        """Stop serving and release the lease."""
        if self._tenure:
            self._tenure.lease.release()
        self._tenure = None
        for server_monitor in self.monitors:
            server_monitor.renew_term(identifiers.NO_TERM)

    async def _fence_all(
        self,
        term: identifiers.Term,
        majority_lease: lease.MajorityLease,
    ) -> list[interfaces.ServerStatus]:
        """Fence all servers and return the statuses of those that agreed.

        Once a majority has agreed, the others get a short time to answer.
        """
        pending = {
            asyncio.create_task(
                self._fence_one(server_monitor, term, majority_lease)
            )
            for server_monitor in self.monitors
        }
        fenced: list[interfaces.ServerStatus] = []
        while pending:
            straggler_wait = (
                STRAGGLER_WAIT_SECONDS
                if len(fenced) >= majority_lease.majority
                else None
            )
            done, pending = await asyncio.wait(
                pending,
                timeout=straggler_wait,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            results = [task.result() for task in done]
            fenced.extend(status for status in results if status is not None)
        self._late_fences.update(pending)
        for task in pending:
            task.add_done_callback(self._late_fences.discard)
        return fenced

    async def _fence_one(
        self,
        server_monitor: monitor.ServerMonitor,
        term: identifiers.Term,
        majority_lease: lease.MajorityLease,
    ) -> interfaces.ServerStatus | None:
        sent_at = self._clock.now()
        try:
            status = await server_monitor.control.fence(
                term=term, owner=self._owner
            )
        except errors.DatabaseServerError:
            return None
        server_monitor.record_status(status)
        if not status.accepted:
            return None
        majority_lease.confirm(server=server_monitor.name, sent_at=sent_at)
        return status

    async def _start_term(
        self,
        tenure: Tenure,
        status: interfaces.ServerStatus,
        fenced: list[interfaces.ServerStatus],
    ) -> None:
        self.floors.acknowledge(
            session_id=identifiers.SessionId(''),
            position=status.received,
        )
        for server_monitor in self.monitors:
            server_monitor.renew_term(tenure.term)
        replicas = [
            replica.server
            for replica in fenced
            if replica.server != tenure.primary
        ]
        await asyncio.gather(
            *(self._order_follow(name, tenure) for name in replicas),
        )

    async def _order_follow(
        self,
        server: identifiers.ServerName,
        tenure: Tenure,
    ) -> None:
        try:
            status = await self._monitors[server].control.follow(
                term=tenure.term,
                owner=self._owner,
                primary_port=self.endpoints[tenure.primary].port,
            )
        except errors.DatabaseServerError:
            return
        if status.accepted:
            self._followed_terms[server] = tenure.term

    async def _on_status(
        self,
        server_monitor: monitor.ServerMonitor,
        status: interfaces.ServerStatus,
        sent_at: float,
    ) -> None:
        tenure = self._tenure
        if tenure is None:
            return
        is_own_promise = status.promised_owner == self._owner
        if status.promised_term > tenure.term and not is_own_promise:
            self._step_down(status)
            return
        if not status.accepted or status.promised_term != tenure.term:
            return
        tenure.lease.confirm(server=server_monitor.name, sent_at=sent_at)
        if server_monitor.name == tenure.primary:
            self.staleness.add_sample(position=status.applied, sent_at=sent_at)
        elif self._followed_terms.get(server_monitor.name) != tenure.term:
            await self._order_follow(server_monitor.name, tenure)

    def _step_down(self, status: interfaces.ServerStatus) -> None:
        _logger.warning(
            'database {}: leaving term {}, {} has claimed term {}',
            self._database,
            self._tenure.term if self._tenure else 0,
            status.promised_owner,
            status.promised_term,
        )
        self.stop_serving()
        self._superseded.set()

    def _known_statuses(self) -> list[interfaces.ServerStatus]:
        return [
            server_monitor.status
            for server_monitor in self.monitors
            if server_monitor.status is not None
        ]
