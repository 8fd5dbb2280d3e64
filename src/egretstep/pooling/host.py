"""All databases of this host's pool, and the tokens that it counts."""

import asyncio
import contextlib
import functools
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.limits import admission
from egretstep.membership import members, view
from egretstep.peers import links, messages, schema
from egretstep.pooling import outcomes, owned, pins, tokens
from egretstep.supervision import supervisor

HANDOVER_TIMEOUT_SECONDS = 1.0
REPLACED_WAIT_SECONDS = 2.0
POLL_SECONDS = 0.02
LINGER_SECONDS = 5.0
QUIET_SECONDS = 1.0
_logger = logbook.Logger('pool')
_FREE_KINDS = frozenset((
    identifiers.StatementKind.COMMIT,
    identifiers.StatementKind.ROLLBACK,
))


class PoolHost:
    """Owns the databases that the fleet's order gives to this host."""

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
        self._leaving: dict[identifiers.DatabaseName, asyncio.Task[None]] = {}
        self._supervisor = supervisor.Supervisor(name='databases')
        self._links = links.LinkTable(
            interface=schema.Pool,
            time_source=time_source,
        )
        self._tokens = tokens.TokenDesk(
            host=host,
            serving=self._owned,
            current_view=self._current_view,
            pool_links=self._links,
            time_source=time_source,
        )
        self._stopping = False
        self._running = 0
        self._asked_at = time_source.now()

    @property
    def databases(self) -> list[owned.OwnedDatabase]:
        """Return the databases that this host owns or is about to own."""
        return list(self._owned.values())

    async def run(self) -> None:
        """Follow the fleet's order until cancelled."""
        await self._feed.wait_ready()
        subscription = self._feed.views.subscribe(self._follow)
        self._follow(self._current_view())
        try:
            await self._supervisor.run()
        finally:
            subscription.dispose()

    async def stop(self) -> None:
        """Hand every database over; nothing that runs is cut."""
        self._stopping = True
        await self._wait_replaced()
        for database in list(self._owned):
            self._start_leaving(database)
        await asyncio.gather(*self._leaving.values())
        await self._linger()

    async def execute(
        self,
        request: messages.StatementRequest,
        link: pins.LinkId,
    ) -> messages.Answer:
        """Run a request of an entry and return its answer."""
        self._running += 1
        self._asked_at = self._clock.now()
        try:
            return await self._execute(request, (link, request.pin_id))
        finally:
            self._running -= 1

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
                redirect=self._redirect(request.database),
                pinned=serving is not None and serving.is_pinned(pin_key),
            )

    async def release(
        self,
        link: pins.LinkId,
        pin_id: identifiers.PinId,
    ) -> None:
        """Roll back and free what a caller held."""
        for serving in self.databases:
            await serving.executor.pins.drop((link, pin_id))

    async def link_closed(self, link: pins.LinkId) -> None:
        """Roll back and free what all callers of an entry held."""
        for serving in self.databases:
            await serving.executor.pins.drop_link(link)

    def accept_handover(
        self,
        database: identifiers.DatabaseName,
        term: identifiers.Term,
    ) -> bool:
        """Note that another host has released a database."""
        taking = self._owned.get(database)
        if taking is None:
            return False
        taking.accept_handover(term)
        return True

    def take_tokens(
        self,
        workspace: identifiers.WorkspaceName,
        wanted: int,
    ) -> admission.Lot | None:
        """Give tokens of a workspace that is counted here, or none."""
        return self._tokens.take(workspace, wanted)

    def _redirect(
        self,
        database: identifiers.DatabaseName,
    ) -> identifiers.HostName:
        waiting = self._owned.get(database)
        if waiting is None:
            preferred = self._current_view().owner(database)
            holder = preferred.host if preferred else identifiers.HostName('')
        elif waiting.is_serving:
            return identifiers.HostName('')
        else:
            holder = waiting.holder
        return identifiers.HostName('') if holder == self._host else holder

    async def _admit_and_run(
        self,
        serving: owned.OwnedDatabase,
        request: messages.StatementRequest,
        pin_key: pins.PinKey,
    ) -> messages.Answer:
        if request.kind in _FREE_KINDS:
            return await serving.execute(request, pin_key)
        gatekeeper = self._tokens.gatekeeper(
            request.database,
            request.workspace,
        )
        await gatekeeper.admit(
            longest_wait=clock.to_seconds(request.timeout_ms) / 2,
        )
        return await serving.execute(request, pin_key)

    def _link(self, member: members.Member) -> links.Link:
        return self._links.get(member.address, member.pool_port)

    def _current_view(self) -> view.FleetView:
        return typing.cast(view.FleetView, self._feed.latest)

    def _follow(self, current: view.FleetView) -> None:
        for name in current.tree.fleet.databases:
            database = identifiers.DatabaseName(name)
            preferred = current.owner(database)
            is_mine = preferred is not None and preferred.host == self._host
            if is_mine:
                self._start_owning(database)
            elif preferred is not None and database in self._owned:
                self._start_leaving(database)
        self._tokens.follow(current)

    def _start_owning(self, database: identifiers.DatabaseName) -> None:
        is_known = database in self._owned or database in self._leaving
        if is_known or self._stopping:
            return
        owning = owned.OwnedDatabase(
            database=database,
            host=self._host,
            credentials=self._credentials,
            current_view=self._current_view,
            time_source=self._clock,
        )
        self._owned[database] = owning
        self._supervisor.start(
            supervisor.Child(name=database, run=owning.run),
        )

    def _start_leaving(self, database: identifiers.DatabaseName) -> None:
        if database in self._leaving:
            return
        task = asyncio.create_task(self._leave(database))
        self._leaving[database] = task
        task.add_done_callback(lambda _task: self._leaving.pop(database, None))

    async def _linger(self) -> None:
        """Answer entries that have not heard of the new owner yet.

        A link that breaks under a write leaves its outcome open, while an
        answer of this host sends it to the new owner.
        """
        deadline = self._clock.now() + LINGER_SECONDS
        while self._clock.now() < deadline:
            silent = self._clock.now() - self._asked_at
            if not self._running and silent > QUIET_SECONDS:
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _wait_replaced(self) -> None:
        """Wait until the fleet gives this host's databases to others."""
        deadline = self._clock.now() + REPLACED_WAIT_SECONDS
        while self._clock.now() < deadline:
            preferred = map(self._current_view().owner, self._owned)
            if all(
                member is not None and member.host != self._host
                for member in preferred
            ):
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _leave(self, database: identifiers.DatabaseName) -> None:
        leaving = self._owned[database]
        term = await leaving.hand_over()
        self._owned.pop(database)
        self._tokens.forget(database)
        await self._tell_next_owner(database, term)
        await self._supervisor.stop_child(database)

    async def _tell_next_owner(
        self,
        database: identifiers.DatabaseName,
        term: identifiers.Term,
    ) -> None:
        following = self._current_view().owner(database)
        if following is None or following.host == self._host or not term:
            return
        link = self._link(following)
        call = functools.partial(_hand_over, database=database, term=term)
        deadline = self._clock.now() + REPLACED_WAIT_SECONDS
        while self._clock.now() < deadline:
            with contextlib.suppress(errors.LinkError, errors.LinkLostError):
                answer = await link.call(
                    call,
                    timeout=HANDOVER_TIMEOUT_SECONDS,
                )
                if answer.accepted:
                    return
            await asyncio.sleep(POLL_SECONDS)


def _hand_over(
    pool: typing.Any,
    *,
    database: identifiers.DatabaseName,
    term: identifiers.Term,
) -> typing.Awaitable[typing.Any]:
    return pool.handOver(database=database, term=term)
