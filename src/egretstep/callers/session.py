"""One caller's session: its key, database, transaction and statements."""

import asyncio
import dataclasses
import itertools
import typing

from mysql_mimic import session as mimic_session
from mysql_mimic import variables
from returns import result

from egretstep import clock, errors, identifiers
from egretstep.callers import (
    hints,
    keys,
    local_answers,
    placement,
    refusals,
    surroundings,
)
from egretstep.membership import view
from egretstep.peers import messages
from egretstep.pooling import outcomes
from egretstep.routing import relay, statements
from egretstep.settings import freshness

FRESH_WAIT_SECONDS = 0.3
FRESH_POLL_SECONDS = 0.01
_WITHOUT_EFFECT = frozenset((
    identifiers.StatementKind.READ,
    identifiers.StatementKind.BEGIN,
    identifiers.StatementKind.ROLLBACK,
))
_request_ids = itertools.count(1)
_pin_ids = itertools.count(1)


class CallerSession(mimic_session.BaseSession):
    """State of one caller's connection."""

    __slots__ = (
        '_autocommit',
        '_floor',
        '_hints',
        '_insert_id',
        '_may_have_run',
        '_pin_id',
        '_pinned_database',
        '_pinned_host',
        '_shared',
        'database',
        'in_transaction',
        'username',
        'variables',
    )

    def __init__(
        self,
        *,
        shared: surroundings.Surroundings,
        global_variables: variables.GlobalVariables,
    ) -> None:
        self.variables = variables.SessionVariables(global_variables)
        self.username: str | None = None
        self.database: str | None = None
        self.in_transaction = False
        self._shared = shared
        self._hints = hints.Hints()
        self._autocommit = True
        self._insert_id = 0
        self._may_have_run = False
        self._floor = identifiers.LOG_START
        self._pin_id = identifiers.PinId(next(_pin_ids))
        self._pinned_host: identifiers.HostName | None = None
        self._pinned_database = ''

    @property
    def is_autocommit(self) -> bool:
        """Tell whether each statement is its own transaction."""
        return self._autocommit

    @property
    def is_pinned(self) -> bool:
        """Tell whether a transaction or session state is held."""
        return self._pinned_host is not None

    @property
    def grant(self) -> keys.Grant | None:
        """Return the workspace and key, or none before they are checked."""
        return keys.decode_grant(self.username) if self.username else None

    async def use(self, database: str) -> None:
        """Change the default database."""
        self.database = database

    async def reset(self) -> None:
        """Forget all state of the session, as COM_RESET_CONNECTION asks."""
        await self.leave_transaction()
        self._hints = hints.Hints()
        self._autocommit = True
        self._insert_id = 0

    async def close(self) -> None:
        """Free what the session holds."""
        await self.leave_transaction()

    async def leave_transaction(self) -> None:
        """Roll an open transaction back."""
        host = self._pinned_host
        self._unpin()
        if host:
            await self._shared.relay.release(host, self._pin_id)

    async def answer(self, sql: bytes) -> messages.Answer:
        """Run one statement; raises `errors.RefusedError`."""
        self._may_have_run = False
        text = sql.decode('utf-8', errors='surrogateescape')
        await self._wait_fresh()
        grant = self._check_grant()
        local = self._answer_locally(text)
        if local is not None:
            return local
        classified = await self._shared.classifier.classify(text)
        if isinstance(classified, result.Failure):
            raise errors.RefusedError(refusal=classified.failure())
        kind = classified.unwrap()
        self._may_have_run = kind not in _WITHOUT_EFFECT
        with self._shared.tracer.span('entry') as traceparent:
            answer = await self._deliver(sql, kind, grant, traceparent)
        self._remember(answer)
        self._check_answer()
        return answer

    def ending_refusal(self, refusal: errors.Refusal) -> errors.Refusal:
        """Return what the caller of a statement that is cut off is told."""
        if self._may_have_run:
            return outcomes.unknown(refusal.message)
        return refusal

    def check_still_allowed(self) -> errors.Refusal | None:
        """Return why the session must end, after a change of settings."""
        current = self._shared.current_view()
        if current is None or self.username is None:
            return None
        grant = keys.decode_grant(self.username)
        if keys.is_active(grant, current.tree.fleet):
            return None
        return refusals.key_withdrawn(grant)

    def _check_answer(self) -> None:
        """Keep rows from a caller whose key may have ended meanwhile.

        What has taken effect is not refused as if it had not run.
        """
        try:
            self._check_grant()
        except errors.RefusedError as error:
            raise errors.RefusedError(
                refusal=self.ending_refusal(error.refusal),
            ) from error

    def _check_grant(self) -> keys.Grant:
        current = self._shared.current_view()
        if self.username is None:
            raise errors.RefusedError(refusal=refusals.no_key())
        if current is None or not self._is_fresh(current):
            raise errors.RefusedError(refusal=refusals.stale_settings())
        grant = keys.decode_grant(self.username)
        if not keys.is_active(grant, current.tree.fleet):
            raise errors.RefusedError(refusal=refusals.key_withdrawn(grant))
        return grant

    async def _wait_fresh(self) -> None:
        """Give a host that was paused the time to hear of its settings."""
        deadline = self._shared.time_source.now() + FRESH_WAIT_SECONDS
        current = self._shared.current_view()
        while current is None or not self._is_fresh(current):
            if self._shared.time_source.now() > deadline:
                return
            await asyncio.sleep(FRESH_POLL_SECONDS)
            current = self._shared.current_view()

    def _is_fresh(self, current: view.FleetView) -> bool:
        return freshness.is_fresh(
            confirmed_at=current.confirmed_at,
            now=self._shared.time_source.now(),
        )

    def _answer_locally(self, text: str) -> messages.Answer | None:
        used = local_answers.used_database(text)
        if used:
            self.database = used
            return local_answers.done()
        if local_answers.sets_names(text):
            return local_answers.done()
        autocommit = local_answers.wanted_autocommit(text)
        if autocommit is not None and not self.is_pinned:
            self._autocommit = autocommit
            return local_answers.done()
        if hints.mentions_hint(text):
            changed = hints.apply_statement(self._hints, text)
            if isinstance(changed, result.Failure):
                raise errors.RefusedError(refusal=changed.failure())
            self._hints = changed.unwrap()
            return local_answers.done()
        if statements.is_last_insert_id(text):
            return local_answers.last_insert_id(self._insert_id)
        return None

    async def _deliver(
        self,
        sql: bytes,
        kind: identifiers.StatementKind,
        grant: keys.Grant,
        traceparent: str,
    ) -> messages.Answer:
        database = self._find_database(grant)
        self._check_place()
        ends_nothing = kind in {
            identifiers.StatementKind.COMMIT,
            identifiers.StatementKind.ROLLBACK,
        }
        if not self.is_pinned and ends_nothing:
            return local_answers.done()
        begins = kind is identifiers.StatementKind.BEGIN
        if not self._autocommit and not self.is_pinned and not begins:
            opened = await self._send(
                b'BEGIN',
                identifiers.StatementKind.BEGIN,
                grant,
                database,
                traceparent,
            )
            if opened.outcome is not identifiers.Outcome.DONE:
                return opened
        return await self._send(sql, kind, grant, database, traceparent)

    async def _send(
        self,
        sql: bytes,
        kind: identifiers.StatementKind,
        grant: keys.Grant,
        database: identifiers.DatabaseName,
        traceparent: str,
    ) -> messages.Answer:
        timeout_ms = self._timeout_ms(grant, database)
        request = messages.StatementRequest(
            request_id=identifiers.RequestId(next(_request_ids)),
            workspace=grant.workspace,
            database=database,
            sql=sql,
            kind=kind,
            session_id=self._session_id(grant),
            floor=self._floor,
            pin_id=self._pin_id,
            expect_pin=self.is_pinned,
            timeout_ms=timeout_ms,
            max_staleness_ms=self._hints.max_staleness_ms,
            request_key=self._hints.request_key,
            traceparent=traceparent,
            zone=self._shared.zone,
        )
        deadline = self._shared.time_source.now() + clock.to_seconds(timeout_ms)
        try:
            relayed = await self._shared.relay.deliver(
                relay.Delivery(
                    request=request,
                    deadline=deadline,
                    repeatable=self._hints.repeatable,
                    pinned_host=self._pinned_host,
                ),
            )
        except errors.RefusedError:
            await self.leave_transaction()
            raise
        self._follow_pin(relayed, database)
        return relayed.answer

    def _session_id(self, grant: keys.Grant) -> identifiers.SessionId:
        if not self._hints.session:
            return identifiers.SessionId('')
        # Sessions of different workspaces never share a floor.
        return identifiers.SessionId(
            f'{grant.workspace}/{self._hints.session}',
        )

    def _timeout_ms(
        self,
        grant: keys.Grant,
        database: identifiers.DatabaseName,
    ) -> int:
        current = typing.cast(view.FleetView, self._shared.current_view())
        effective = current.tree.effective(
            workspace=grant.workspace,
            database=database,
            zone=self._shared.zone,
        )
        if self._hints.timeout_ms is None:
            return effective.request_timeout_ms
        return min(self._hints.timeout_ms, effective.request_timeout_ms)

    def _find_database(self, grant: keys.Grant) -> identifiers.DatabaseName:
        if self.is_pinned:
            return identifiers.DatabaseName(self._pinned_database)
        current = typing.cast(view.FleetView, self._shared.current_view())
        return placement.choose_database(
            name=self.database or '',
            grant=grant,
            fleet=current.tree.fleet,
        )

    def _check_place(self) -> None:
        if self.is_pinned:
            return
        if self._shared.is_stopping():
            raise errors.RefusedError(refusal=refusals.stopping())
        current = typing.cast(view.FleetView, self._shared.current_view())
        placement.check_zone(self._shared.zone, current.tree.fleet)

    def _follow_pin(
        self,
        relayed: relay.Relayed,
        database: identifiers.DatabaseName,
    ) -> None:
        if relayed.answer.pinned:
            self._pinned_host = relayed.host
            self._pinned_database = database
            self.in_transaction = relayed.answer.in_transaction
        else:
            self._unpin()

    def _unpin(self) -> None:
        self._pinned_host = None
        self._pinned_database = ''
        self.in_transaction = False

    def _remember(self, answer: messages.Answer) -> None:
        self._floor = max(self._floor, answer.position)
        if answer.insert_id:
            self._insert_id = answer.insert_id
        is_write = answer.position > identifiers.LOG_START
        if self._hints.request_key and is_write:
            self._hints = dataclasses.replace(
                self._hints,
                request_key=identifiers.RequestKey(''),
            )
