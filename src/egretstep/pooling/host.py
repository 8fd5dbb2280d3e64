"""The databases that this host owns and the token buckets it keeps."""

import asyncio
import contextlib
import functools
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.limits import admission
from egretstep.membership import members, view
from egretstep.peers import link_table, links, messages, schema
from egretstep.pooling import outcomes, owned, pins, workspace_admissions
from egretstep.supervision import supervisor

HANDOVER_TIMEOUT_SECONDS = 1.0
HANDOVER_WAIT_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.02
LATE_REQUEST_WAIT_SECONDS = 5.0
IDLE_BEFORE_STOP_SECONDS = 1.0
_logger = logbook.Logger('pool')
_UNMETERED_KINDS = frozenset((
    identifiers.StatementKind.COMMIT,
    identifiers.StatementKind.ROLLBACK,
))


class PoolHost:
    """Owns the databases that the fleet view assigns to this host."""

    def __init__(
        self,
        *,
        host: identifiers.HostName,
        credentials: owned.Credentials,
        feed: view.FleetViewFeed,
        time_source: clock.Clock,
    ) -> None:
        self._host = host
        self._credentials = credentials
        self._feed = feed
        self._clock = time_source
        self._owned: dict[identifiers.DatabaseName, owned.OwnedDatabase] = {}
        self._releasing: dict[identifiers.DatabaseName, asyncio.Task[None]] = {}
        self._supervisor = supervisor.Supervisor(name='databases')
        self._links = link_table.LinkTable(
            interface=schema.Pool,
            time_source=time_source,
        )
        self._admissions = workspace_admissions.WorkspaceAdmissions(
            host=host,
            serving=self._owned,
            current_view=self._current_view,
            pool_links=self._links,
            time_source=time_source,
        )
        self._stopping = False
        self._active_requests = 0
        self._latest_request_at = time_source.now()

    @property
    def databases(self) -> list[owned.OwnedDatabase]:
        """Return the databases that this host owns or is about to own."""
        return list(self._owned.values())

    async def run(self) -> None:
        """Claim and release databases as the fleet view changes.

        Runs until cancelled.
        """
        await self._feed.wait_ready()
        subscription = self._feed.views.subscribe(self._apply_view)
        self._apply_view(self._current_view())
        try:
            await self._supervisor.run()
        finally:
            subscription.dispose()

    async def stop(self) -> None:
        """Hand all databases over and wait for requests that are late.

        Running writes and transactions may end before the handover, for as
        long as `OwnedDatabase.hand_over` waits.
        """
        self._stopping = True
        await self._wait_for_reassignment()
        for database in list(self._owned):
            self._start_releasing(database)
        await asyncio.gather(*self._releasing.values())
        await self._wait_for_late_requests()

    async def execute(
        self,
        request: messages.StatementRequest,
        link: pins.LinkId,
    ) -> messages.Answer:
        """Run a request of an entry and return its answer or refusal.

        The answer names the owner to ask if another host owns the database.
        """
        self._active_requests += 1
        self._latest_request_at = self._clock.now()
        try:
            return await self._execute(request, (link, request.pin_id))
        finally:
            self._active_requests -= 1

    async def _execute(
        self,
        request: messages.StatementRequest,
        pin_key: pins.PinKey,
    ) -> messages.Answer:
        serving = self._owned.get(request.database)
        try:
            if serving is None or not serving.is_serving:
                raise errors.RefusedError(
                    refusal=outcomes.not_owner(request.database),
                )
            return await self._admit_and_run(serving, request, pin_key)
        except errors.RefusedError as error:
            return messages.refusal_answer(
                request_id=request.request_id,
                refusal=error.refusal,
                redirect=self._redirect_target(request.database),
                pinned=serving is not None and serving.is_pinned(pin_key),
            )

    async def release(
        self,
        link: pins.LinkId,
        pin_id: identifiers.PinId,
    ) -> None:
        """Drop the pins of a caller and roll their transactions back."""
        for serving in self.databases:
            await serving.executor.pins.drop((link, pin_id))

    async def link_closed(self, link: pins.LinkId) -> None:
        """Drop the pins of all callers of an entry that disconnected."""
        for serving in self.databases:
            await serving.executor.pins.drop_link(link)

    def accept_handover(
        self,
        database: identifiers.DatabaseName,
        term: identifiers.Term,
    ) -> bool:
        """Record that another host has released its term for a database.

        Returns false when this host is not about to own the database.
        """
        owned_database = self._owned.get(database)
        if owned_database is None:
            return False
        owned_database.accept_handover(term)
        return True

    def take_tokens(
        self,
        workspace: identifiers.WorkspaceName,
        wanted: int,
    ) -> admission.Lot | None:
        """Grant tokens of a workspace.

        Returns None when this host does not keep the token bucket.
        """
        return self._admissions.take(workspace, wanted)

    def _redirect_target(
        self,
        database: identifiers.DatabaseName,
    ) -> identifiers.HostName:
        owned_database = self._owned.get(database)
        if owned_database is None:
            preferred_owner = self._current_view().owner(database)
            holder = (
                preferred_owner.host
                if preferred_owner
                else identifiers.HostName('')
            )
        elif owned_database.is_serving:
            return identifiers.HostName('')
        else:
            holder = owned_database.holder
        return identifiers.HostName('') if holder == self._host else holder

    async def _admit_and_run(
        self,
        serving: owned.OwnedDatabase,
        request: messages.StatementRequest,
        pin_key: pins.PinKey,
    ) -> messages.Answer:
        if request.kind in _UNMETERED_KINDS:
            return await serving.execute(request, pin_key)
        workspace_admission = self._admissions.admission_of(
            request.database,
            request.workspace,
        )
        await workspace_admission.admit(
            longest_wait=clock.to_seconds(request.timeout_ms) / 2,
        )
        return await serving.execute(request, pin_key)

    def _link(self, member: members.Member) -> links.Link:
        return self._links.get(member.address, member.pool_port)

    def _current_view(self) -> view.FleetView:
        return typing.cast(view.FleetView, self._feed.latest)

    def _apply_view(self, current: view.FleetView) -> None:
        for name in current.tree.fleet.databases:
            database = identifiers.DatabaseName(name)
            preferred_owner = current.owner(database)
            is_owner_here = (
                preferred_owner is not None
                and preferred_owner.host == self._host
            )
            if is_owner_here:
                self._start_owning(database)
            elif preferred_owner is not None and database in self._owned:
                self._start_releasing(database)
        self._admissions.apply_view(current)

    def _start_owning(self, database: identifiers.DatabaseName) -> None:
        is_owned_or_releasing = (
            database in self._owned or database in self._releasing
        )
        if is_owned_or_releasing or self._stopping:
            return
        owned_database = owned.OwnedDatabase(
            database=database,
            host=self._host,
            credentials=self._credentials,
            current_view=self._current_view,
            time_source=self._clock,
        )
        self._owned[database] = owned_database
        self._supervisor.start(
            supervisor.Child(name=database, run=owned_database.run),
        )

    def _start_releasing(self, database: identifiers.DatabaseName) -> None:
        if database in self._releasing:
            return
        task = asyncio.create_task(self._release_database(database))
        self._releasing[database] = task
        task.add_done_callback(
            lambda _task: self._releasing.pop(database, None)
        )

    async def _wait_for_late_requests(self) -> None:
        """Redirect requests of entries that don't know the new owner yet.

        If the link broke instead, the outcome of a write would be unknown.
        Returns once no request has arrived for `IDLE_BEFORE_STOP_SECONDS`, or
        after `LATE_REQUEST_WAIT_SECONDS`.
        """
        deadline = self._clock.now() + LATE_REQUEST_WAIT_SECONDS
        while self._clock.now() < deadline:
            idle_seconds = self._clock.now() - self._latest_request_at
            if (
                not self._active_requests
                and idle_seconds > IDLE_BEFORE_STOP_SECONDS
            ):
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _wait_for_reassignment(self) -> None:
        """Wait until the fleet view assigns all databases to other hosts."""
        deadline = self._clock.now() + HANDOVER_WAIT_SECONDS
        while self._clock.now() < deadline:
            preferred_owners = map(self._current_view().owner, self._owned)
            if all(
                member is not None and member.host != self._host
                for member in preferred_owners
            ):
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _release_database(
        self, database: identifiers.DatabaseName
    ) -> None:
        owned_database = self._owned[database]
        term = await owned_database.hand_over()
        self._owned.pop(database)
        self._admissions.drop_database(database)
        await self._notify_next_owner(database, term)
        await self._supervisor.stop_child(database)

    async def _notify_next_owner(
        self,
        database: identifiers.DatabaseName,
        term: identifiers.Term,
    ) -> None:
        next_owner = self._current_view().owner(database)
        if next_owner is None or next_owner.host == self._host or not term:
            return
        link = self._link(next_owner)
        call = functools.partial(_call_hand_over, database=database, term=term)
        deadline = self._clock.now() + HANDOVER_WAIT_SECONDS
        while self._clock.now() < deadline:
            with contextlib.suppress(errors.LinkError, errors.LinkLostError):
                answer = await link.call(
                    call,
                    timeout=HANDOVER_TIMEOUT_SECONDS,
                )
                if answer.accepted:
                    return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


def _call_hand_over(
    pool: typing.Any,
    *,
    database: identifiers.DatabaseName,
    term: identifiers.Term,
) -> typing.Awaitable[typing.Any]:
    return pool.handOver(database=database, term=term)
