"""Session of one caller over the MySQL protocol."""

import asyncio
import dataclasses
import itertools
import typing

from mysql_mimic import session as mimic_session
from mysql_mimic import variables
from returns import result

from egretstep import clock, errors, identifiers
from egretstep.callers import (
    entry_services,
    hints,
    keys,
    local_answers,
    placement,
    refusals,
)
from egretstep.membership import view
from egretstep.peers import messages
from egretstep.pooling import outcomes
from egretstep.routing import relay, statements
from egretstep.settings import freshness

SETTINGS_WAIT_SECONDS = 0.3
SETTINGS_POLL_INTERVAL_SECONDS = 0.01
_KINDS_WITHOUT_EFFECT = frozenset((
    identifiers.StatementKind.READ,
    identifiers.StatementKind.BEGIN,
    identifiers.StatementKind.ROLLBACK,
))
_request_ids = itertools.count(1)
_pin_ids = itertools.count(1)


class CallerSession(mimic_session.BaseSession):
    """Runs the statements of one connection and keeps its state.

    A session is pinned while a host holds a server connection for it.
    """

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
        shared: entry_services.EntryServices,
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
        """Tell whether a server holds a transaction or session state."""
        return self._pinned_host is not None

    @property
    def identity(self) -> keys.Identity | None:
        """Return the caller's identity, or None before authentication."""
        return keys.decode_identity(self.username) if self.username else None

    async def use(self, database: str) -> None:
        """Change the default database."""
        self.database = database

    async def reset(self) -> None:
        """Reset the session, but keep its identity, database and floor."""
        await self.roll_back_transaction()
        self._hints = hints.Hints()
        self._autocommit = True
        self._insert_id = 0

    async def close(self) -> None:
        """Roll back the open transaction, if there is one."""
        await self.roll_back_transaction()

    async def roll_back_transaction(self) -> None:
        """Roll back the open transaction, if there is one."""
        host = self._pinned_host
        self._unpin()
        if host:
            await self._shared.relay.release(host, self._pin_id)

    async def execute(self, sql: bytes) -> messages.Answer:
        """Run one statement; raises `errors.RefusedError` if refused."""
        self._may_have_run = False
        text = sql.decode('utf-8', errors='surrogateescape')
        await self._wait_for_fresh_settings()
        identity = self._check_key()
        local_answer = self._answer_locally(text)
        if local_answer is not None:
            return local_answer
        classified = await self._shared.classifier.classify(text)
        if isinstance(classified, result.Failure):
            raise errors.RefusedError(refusal=classified.failure())
        kind = classified.unwrap()
        self._may_have_run = kind not in _KINDS_WITHOUT_EFFECT
        with self._shared.tracer.span('entry') as traceparent:
            answer = await self._run_on_owner(sql, kind, identity, traceparent)
        self._record_result(answer)
        self._recheck_key()
        return answer

    def refusal_after_start(self, refusal: errors.Refusal) -> errors.Refusal:
        """Return the refusal, or unknown outcome if effects are possible."""
        if self._may_have_run:
            return outcomes.unknown(refusal.message)
        return refusal

    def find_key_refusal(self) -> errors.Refusal | None:
        """Return the refusal that ends the session if its key is withdrawn."""
        current = self._shared.current_view()
        if current is None or self.username is None:
            return None
        identity = keys.decode_identity(self.username)
        if keys.is_active(identity, current.tree.fleet):
            return None
        return refusals.key_withdrawn(identity)

    def _recheck_key(self) -> None:
        """Withhold the answer if the key or the settings expired meanwhile.

        A statement that may have taken effect is not refused as "not run".
        """
        try:
            self._check_key()
        except errors.RefusedError as error:
            raise errors.RefusedError(
                refusal=self.refusal_after_start(error.refusal),
            ) from error

    def _check_key(self) -> keys.Identity:
        current = self._shared.current_view()
        if self.username is None:
            raise errors.RefusedError(refusal=refusals.no_key())
        if current is None or not self._has_fresh_settings(current):
            raise errors.RefusedError(refusal=refusals.stale_settings())
        identity = keys.decode_identity(self.username)
        if not keys.is_active(identity, current.tree.fleet):
            raise errors.RefusedError(refusal=refusals.key_withdrawn(identity))
        return identity

    async def _wait_for_fresh_settings(self) -> None:
        """Let a host that was paused receive settings, within a time limit."""
        deadline = self._shared.time_source.now() + SETTINGS_WAIT_SECONDS
        current = self._shared.current_view()
        while current is None or not self._has_fresh_settings(current):
            if self._shared.time_source.now() > deadline:
                return
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_SECONDS)
            current = self._shared.current_view()

    def _has_fresh_settings(self, current: view.FleetView) -> bool:
        return freshness.is_fresh(
            confirmed_at=current.confirmed_at,
            now=self._shared.time_source.now(),
        )

    def _answer_locally(self, text: str) -> messages.Answer | None:
        database = local_answers.parse_use(text)
        if database:
            self.database = database
            return local_answers.make_ok()
        if local_answers.is_set_names(text):
            return local_answers.make_ok()
        autocommit = local_answers.parse_autocommit(text)
        if autocommit is not None and not self.is_pinned:
            self._autocommit = autocommit
            return local_answers.make_ok()
        if hints.mentions_hint(text):
            new_hints = hints.apply_statement(self._hints, text)
            if isinstance(new_hints, result.Failure):
                raise errors.RefusedError(refusal=new_hints.failure())
            self._hints = new_hints.unwrap()
            return local_answers.make_ok()
        if statements.is_last_insert_id(text):
            return local_answers.make_last_insert_id(self._insert_id)
        return None

    async def _run_on_owner(
        self,
        sql: bytes,
        kind: identifiers.StatementKind,
        identity: keys.Identity,
        traceparent: str,
    ) -> messages.Answer:
        database = self._database_of(identity)
        self._check_accepting()
        ends_transaction = kind in {
            identifiers.StatementKind.COMMIT,
            identifiers.StatementKind.ROLLBACK,
        }
        if not self.is_pinned and ends_transaction:
            return local_answers.make_ok()
        is_begin = kind is identifiers.StatementKind.BEGIN
        if not self._autocommit and not self.is_pinned and not is_begin:
            begin_answer = await self._send(
                b'BEGIN',
                identifiers.StatementKind.BEGIN,
                identity,
                database,
                traceparent,
            )
            if begin_answer.outcome is not identifiers.Outcome.DONE:
                return begin_answer
        return await self._send(sql, kind, identity, database, traceparent)

    async def _send(
        self,
        sql: bytes,
        kind: identifiers.StatementKind,
        identity: keys.Identity,
        database: identifiers.DatabaseName,
        traceparent: str,
    ) -> messages.Answer:
        timeout_ms = self._timeout_ms(identity, database)
        request = messages.StatementRequest(
            request_id=identifiers.RequestId(next(_request_ids)),
            workspace=identity.workspace,
            database=database,
            sql=sql,
            kind=kind,
            session_id=self._session_id(identity),
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
            await self.roll_back_transaction()
            raise
        self._update_pin(relayed, database)
        return relayed.answer

    def _session_id(self, identity: keys.Identity) -> identifiers.SessionId:
        if not self._hints.session:
            return identifiers.SessionId('')
        # The prefix keeps workspaces from sharing a session and its floor.
        return identifiers.SessionId(
            f'{identity.workspace}/{self._hints.session}',
        )

    def _timeout_ms(
        self,
        identity: keys.Identity,
        database: identifiers.DatabaseName,
    ) -> int:
        current = typing.cast(view.FleetView, self._shared.current_view())
        effective = current.tree.effective(
            workspace=identity.workspace,
            database=database,
            zone=self._shared.zone,
        )
        if self._hints.timeout_ms is None:
            return effective.request_timeout_ms
        return min(self._hints.timeout_ms, effective.request_timeout_ms)

    def _database_of(self, identity: keys.Identity) -> identifiers.DatabaseName:
        if self.is_pinned:
            return identifiers.DatabaseName(self._pinned_database)
        current = typing.cast(view.FleetView, self._shared.current_view())
        return placement.choose_database(
            name=self.database or '',
            identity=identity,
            fleet=current.tree.fleet,
        )

    def _check_accepting(self) -> None:
        if self.is_pinned:
            return
        if self._shared.is_stopping():
            raise errors.RefusedError(refusal=refusals.stopping())
        current = typing.cast(view.FleetView, self._shared.current_view())
        placement.check_zone(self._shared.zone, current.tree.fleet)

    def _update_pin(
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

    def _record_result(self, answer: messages.Answer) -> None:
        self._floor = max(self._floor, answer.position)
        if answer.insert_id:
            self._insert_id = answer.insert_id
        is_write = answer.position > identifiers.LOG_START
        if self._hints.request_key and is_write:
            self._hints = dataclasses.replace(
                self._hints,
                request_key=identifiers.RequestKey(''),
            )
