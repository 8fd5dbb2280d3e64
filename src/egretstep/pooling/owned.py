"""One database that this host owns or is about to own, with all its parts."""

import asyncio
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.backends import mysql as database_module
from egretstep.membership import ranking, view
from egretstep.peers import messages
from egretstep.pooling import (
    execution,
    jobs,
    outcomes,
    pins,
    queueing,
    reading,
    servers,
    watchdog,
)
from egretstep.replication import group, owner
from egretstep.settings import schema
from egretstep.supervision import supervisor

DRAIN_SECONDS = 8.0
CLAIM_SECONDS = 2.0
POLL_SECONDS = 0.05
_logger = logbook.Logger('owned')


class Credentials(typing.NamedTuple):
    """The system's own name and password at the database servers."""

    user: str
    password: str


class OwnedDatabase:
    """Runs ownership, monitors and requests of one database."""

    def __init__(
        self,
        *,
        database: identifiers.DatabaseName,
        host: str,
        credentials: Credentials,
        current_view: typing.Callable[[], view.FleetView],
        time_source: clock.Clock,
    ) -> None:
        self._database = database
        self._view = current_view
        self._clock = time_source
        settings = self._settings()
        self._group = group.DatabaseGroup(
            database=database,
            settings=settings,
            owner=host,
            user=credentials.user,
            password=credentials.password,
            time_source=time_source,
        )
        self._pools = servers.ServerPools(
            database_group=self._group,
            settings=settings,
            owner=host,
            queue_policy=self._queue_policy(),
            time_source=time_source,
        )
        self._executor = execution.Executor(
            database_group=self._group,
            pools=self._pools,
            reads=reading.ReadPlanner(
                database_group=self._group,
                pools=self._pools,
                zone_of=self._zone_of,
                is_zone_in=self._is_zone_in,
                time_source=time_source,
            ),
            time_source=time_source,
        )
        self._owner = owner.DatabaseOwner(
            database_group=self._group,
            host=host,
            is_alive=self._is_owner_alive,
            preferred=self._preferred_primaries,
            on_serving=self._on_serving,
            write_gate=self._executor.gate,
            time_source=time_source,
        )
        watching = watchdog.Watchdog(
            servers=self._group.monitors,
            abort=self._executor.abort,
            time_source=time_source,
        )
        self._supervisor = supervisor.Supervisor(
            name=f'database-{database}',
            children=[
                *self._group.children(),
                supervisor.Child(name='owner', run=self._owner.run),
                supervisor.Child(name='watchdog', run=watching.run),
            ],
        )
        self._warming: asyncio.Task[None] | None = None

    @property
    def database_group(self) -> group.DatabaseGroup:
        """Return the group of servers."""
        return self._group

    @property
    def executor(self) -> execution.Executor:
        """Return what runs requests."""
        return self._executor

    @property
    def is_serving(self) -> bool:
        """Tell whether this host holds the term and takes requests."""
        return self._group.tenure is not None

    @property
    def counting_since(self) -> float:
        """Return since when this host has counted rates; see the owner."""
        return self._owner.counting_since

    @property
    def holder(self) -> identifiers.HostName:
        """Return the host that holds the term, as the servers say."""
        _term, host = self._group.promised()
        return identifiers.HostName(host)

    async def run(self) -> None:
        """Run until cancelled, then free all connections."""
        try:
            await self._supervisor.run()
        finally:
            await self._free()

    async def _free(self) -> None:
        self._group.stop_serving()
        await self._executor.pins.drop_all()
        self._pools.close()

    async def hand_over(self) -> identifiers.Term:
        """Let writes and transactions end, then release the term.

        Returns the released term, zero when none was held.
        """
        tenure = await self._finish_claim()
        if tenure is None:
            return identifiers.NO_TERM
        is_quiet = await self._executor.gate.close(longest_wait=DRAIN_SECONDS)
        if not is_quiet:
            _logger.warning(
                '{}: transactions are cut after {} s of waiting',
                self._database,
                DRAIN_SECONDS,
            )
        await self._supervisor.stop_child('owner')
        self._group.stop_serving()
        # Writes that waited at the gate learn that they must go elsewhere.
        self._executor.gate.open()
        return tenure.term

    async def _finish_claim(self) -> group.Tenure | None:
        """Wait for a claim under way, so that a whole term is released."""
        deadline = self._clock.now() + CLAIM_SECONDS
        while self._group.is_claiming and self._clock.now() < deadline:
            await asyncio.sleep(POLL_SECONDS)
        return self._group.tenure

    def is_pinned(self, pin_key: pins.PinKey) -> bool:
        """Tell whether a caller holds a connection here."""
        return self._executor.pins.get(pin_key) is not None

    def accept_handover(self, term: identifiers.Term) -> None:
        """Note that the old owner has released a term."""
        self._owner.accept_handover(term)

    async def execute(
        self,
        request: messages.StatementRequest,
        pin_key: pins.PinKey,
    ) -> messages.Answer:
        """Run a request; raises `errors.RefusedError`."""
        is_leaving = self._settings().state is schema.AvailabilityState.OUT
        if is_leaving and not self.is_pinned(pin_key):
            raise errors.RefusedError(refusal=_leaving(self._database))
        effective = self._view().tree.effective(
            workspace=request.workspace,
            database=request.database,
            zone=request.zone or None,
        )
        deadline = self._clock.now() + clock.to_seconds(request.timeout_ms)
        job = jobs.Job(
            request=request,
            effective=effective,
            deadline=deadline,
            pin_key=pin_key,
        )
        if not self.is_serving:
            raise errors.RefusedError(
                refusal=outcomes.not_owner(self._database),
            )
        try:
            return await self._executor.run(job)
        except database_module.ServerRefusalError as error:
            return _relay_error(request, error, self._executor, pin_key)

    def _settings(self) -> schema.Database:
        return self._view().tree.fleet.databases[self._database]

    def _queue_policy(self) -> queueing.QueuePolicy:
        return (
            self
            ._view()
            .tree.effective(
                workspace=identifiers.WorkspaceName(''),
                database=self._database,
            )
            .queue_policy
        )

    def _zone_of(
        self,
        server: identifiers.ServerName,
    ) -> identifiers.ZoneName:
        found = self._settings().servers.get(server)
        return identifiers.ZoneName(found.zone if found else '')

    def _is_zone_in(self, zone: identifiers.ZoneName) -> bool:
        return ranking.is_zone_in(zone, self._view().tree.fleet)

    def _is_owner_alive(self, host: str) -> bool:
        return any(
            member.host == host and member.may_still_own
            for member in self._view().hosts
        )

    def _preferred_primaries(self) -> list[identifiers.ServerName]:
        return [
            identifiers.ServerName(name)
            for name, server in self._settings().servers.items()
            if server.state is schema.AvailabilityState.IN
            and self._is_zone_in(identifiers.ZoneName(server.zone))
        ]

    def _on_serving(self, tenure: group.Tenure) -> None:
        self._warming = asyncio.create_task(self._start_term(tenure))

    async def _start_term(self, tenure: group.Tenure) -> None:
        for key in self._executor.pins.keys_before(tenure.term):
            await self._executor.pins.drop(key)
        await self._pools.warm(tenure.term)


def _leaving(database: identifiers.DatabaseName) -> errors.Refusal:
    return errors.Refusal(
        kind=errors.RefusalKind.UNAVAILABLE,
        message=f'{database} is leaving; the operators have taken it out',
        retry_after_ms=clock.MILLISECONDS_PER_SECOND,
    )


def _relay_error(
    request: messages.StatementRequest,
    error: database_module.ServerRefusalError,
    executor: execution.Executor,
    pin_key: pins.PinKey,
) -> messages.Answer:
    pin = executor.pins.get(pin_key)
    return messages.Answer(
        request_id=request.request_id,
        outcome=identifiers.Outcome.FAILED,
        error_code=error.code,
        sql_state=error.sql_state,
        message=error.message,
        pinned=pin is not None,
        in_transaction=pin is not None and pin.connection.in_transaction,
    )
