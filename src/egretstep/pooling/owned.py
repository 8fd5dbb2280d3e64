"""Assembles and runs one database that this host owns or is claiming."""

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
    read_planner,
    server_pools,
    watchdog,
)
from egretstep.replication import group, owner
from egretstep.settings import schema
from egretstep.supervision import supervisor

DRAIN_WAIT_SECONDS = 8.0
CLAIM_WAIT_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.05
_logger = logbook.Logger('owned')


class Credentials(typing.NamedTuple):
    """User name and password of egretstep at the database servers."""

    user: str
    password: str


class OwnedDatabase:
    """Runs the owner, the server monitors and the requests of a database."""

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
        self._pools = server_pools.ServerPools(
            database_group=self._group,
            settings=settings,
            owner=host,
            queue_policy=self._queue_policy(),
            time_source=time_source,
        )
        self._executor = execution.Executor(
            database_group=self._group,
            pools=self._pools,
            reads=read_planner.ReadPlanner(
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
        server_watchdog = watchdog.Watchdog(
            servers=self._group.monitors,
            abort=self._executor.abort,
            time_source=time_source,
        )
        self._supervisor = supervisor.Supervisor(
            name=f'database-{database}',
            children=[
                *self._group.children(),
                supervisor.Child(name='owner', run=self._owner.run),
                supervisor.Child(name='watchdog', run=server_watchdog.run),
            ],
        )
        self._start_term_task: asyncio.Task[None] | None = None

    @property
    def database_group(self) -> group.DatabaseGroup:
        """Return the group of the database's servers."""
        return self._group

    @property
    def executor(self) -> execution.Executor:
        """Return the executor of requests."""
        return self._executor

    @property
    def is_serving(self) -> bool:
        """Tell whether this host holds a term and accepts requests."""
        return self._group.tenure is not None

    @property
    def buckets_empty_at(self) -> float:
        """Return the time from which token buckets start empty.

        A monotonic time; see `DatabaseOwner.buckets_empty_at`.
        """
        return self._owner.buckets_empty_at

    @property
    def holder(self) -> identifiers.HostName:
        """Return the host that holds the latest term known from the servers."""
        _term, host = self._group.promised()
        return identifiers.HostName(host)

    async def run(self) -> None:
        """Run until cancelled, then stop serving and close connections."""
        try:
            await self._supervisor.run()
        finally:
            await self._release_resources()

    async def _release_resources(self) -> None:
        self._group.stop_serving()
        await self._executor.pins.drop_all()
        self._pools.close()

    async def hand_over(self) -> identifiers.Term:
        """Wait for writes and transactions to end, then release the term.

        Transactions that are still open after `DRAIN_WAIT_SECONDS` are rolled
        back. Returns the released term, zero when none was held.
        """
        tenure = await self._wait_for_claim()
        if tenure is None:
            return identifiers.NO_TERM
        is_drained = await self._executor.gate.close(
            longest_wait=DRAIN_WAIT_SECONDS
        )
        if not is_drained:
            _logger.warning(
                '{}: writes or transactions are still open after {} s of '
                'draining; releasing the term rolls transactions back',
                self._database,
                DRAIN_WAIT_SECONDS,
            )
        await self._supervisor.stop_child('owner')
        self._group.stop_serving()
        # Writes that wait at the gate are now refused and redirected.
        self._executor.gate.open()
        return tenure.term

    async def _wait_for_claim(self) -> group.Tenure | None:
        """Wait for a running claim to end; return the term that it obtained.

        A term can be released only after its claim is complete. Returns None
        if this host serves in no term then.
        """
        deadline = self._clock.now() + CLAIM_WAIT_SECONDS
        while self._group.is_claiming and self._clock.now() < deadline:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return self._group.tenure

    def is_pinned(self, pin_key: pins.PinKey) -> bool:
        """Tell whether a caller has a pinned connection here."""
        return self._executor.pins.get(pin_key) is not None

    def accept_handover(self, term: identifiers.Term) -> None:
        """Record that the former owner has released a term."""
        self._owner.accept_handover(term)

    async def execute(
        self,
        request: messages.StatementRequest,
        pin_key: pins.PinKey,
    ) -> messages.Answer:
        """Run a request and return its answer, also for a server's error.

        Raises `errors.RefusedError` when the request was not run or its
        outcome is unknown.
        """
        is_leaving = self._settings().state is schema.AvailabilityState.OUT
        if is_leaving and not self.is_pinned(pin_key):
            raise errors.RefusedError(refusal=_leaving_refusal(self._database))
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
            return _server_error_answer(request, error, self._executor, pin_key)

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
        server_settings = self._settings().servers.get(server)
        return identifiers.ZoneName(
            server_settings.zone if server_settings else ''
        )

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
        self._start_term_task = asyncio.create_task(self._start_term(tenure))

    async def _start_term(self, tenure: group.Tenure) -> None:
        for key in self._executor.pins.keys_before(tenure.term):
            await self._executor.pins.drop(key)
        await self._pools.warm(tenure.term)


def _leaving_refusal(database: identifiers.DatabaseName) -> errors.Refusal:
    return errors.Refusal(
        kind=errors.RefusalKind.UNAVAILABLE,
        message=f'{database} is leaving; the operators have taken it out',
        retry_after_ms=clock.MILLISECONDS_PER_SECOND,
    )


def _server_error_answer(
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
