"""One caller's session: its key, database, transaction and statements."""

import asyncio
import dataclasses
import itertools
import re
import typing

from mysql_mimic import charset, types, variables
from mysql_mimic import session as mimic_session
from returns import result

from egretstep import clock, errors, identifiers
from egretstep.callers import hints, keys, refusals
from egretstep.membership import ranking, view
from egretstep.observability import traces
from egretstep.peers import messages
from egretstep.routing import relay, statements
from egretstep.settings import freshness

FRESH_WAIT_SECONDS = 0.3
FRESH_POLL_SECONDS = 0.01
_AUTOCOMMIT = re.compile(
    r'^\s*SET\s+(?:SESSION\s+|@@(?:SESSION\.)?)?AUTOCOMMIT\s*=\s*'
    r'(0|1|ON|OFF|TRUE|FALSE)\s*;?\s*$',
    re.IGNORECASE,
)
_NAMES = re.compile(
    r"^\s*SET\s+NAMES\s+'?utf8(?:mb4|mb3)?'?(?:\s+COLLATE\s+'?\w+'?)?\s*;?\s*$",
    re.IGNORECASE,
)
_USE = re.compile(r'^\s*USE\s+`?([\w.-]+)`?\s*;?\s*$', re.IGNORECASE)
_OPEN_ACCESS_KINDS = frozenset((identifiers.StatementKind.READ,))
_request_ids = itertools.count(1)
_pin_ids = itertools.count(1)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Surroundings:
    """What all sessions of an entry share."""

    current_view: typing.Callable[[], view.FleetView | None]
    relay: relay.Relay
    classifier: statements.StatementClassifier
    tracer: traces.Tracer
    time_source: clock.Clock
    zone: identifiers.ZoneName
    is_stopping: typing.Callable[[], bool]


class CallerSession(mimic_session.BaseSession):
    """State of one caller's connection."""

    __slots__ = (
        '_autocommit',
        '_floor',
        '_hints',
        '_insert_id',
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
        surroundings: Surroundings,
        global_variables: variables.GlobalVariables,
    ) -> None:
        self.variables = variables.SessionVariables(global_variables)
        self.username: str | None = None
        self.database: str | None = None
        self.in_transaction = False
        self._shared = surroundings
        self._hints = hints.Hints()
        self._autocommit = True
        self._insert_id = 0
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
        with self._shared.tracer.span('entry') as traceparent:
            answer = await self._deliver(sql, kind, grant, traceparent)
        self._check_grant()
        self._remember(answer)
        return answer

    def check_still_allowed(self) -> errors.Refusal | None:
        """Return why the session must end, after a change of settings."""
        current = self._shared.current_view()
        if current is None or self.username is None:
            return None
        grant = keys.decode_grant(self.username)
        if keys.is_active(grant, current.tree.fleet):
            return None
        return refusals.key_withdrawn(grant)

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
        used = _USE.match(text)
        if used:
            self.database = used.group(1)
            return _done()
        if _NAMES.match(text):
            return _done()
        autocommit = _AUTOCOMMIT.match(text)
        if autocommit and not self.is_pinned:
            self._autocommit = autocommit.group(1).upper() in {
                '1',
                'ON',
                'TRUE',
            }
            return _done()
        if hints.mentions_hint(text):
            changed = hints.apply_statement(self._hints, text)
            if isinstance(changed, result.Failure):
                raise errors.RefusedError(refusal=changed.failure())
            self._hints = changed.unwrap()
            return _done()
        if statements.is_last_insert_id(text):
            return _insert_id_answer(self._insert_id)
        return None

    async def _deliver(
        self,
        sql: bytes,
        kind: identifiers.StatementKind,
        grant: keys.Grant,
        traceparent: str,
    ) -> messages.Answer:
        database = self._find_database(grant)
        self._check_place(grant)
        ends_nothing = kind in {
            identifiers.StatementKind.COMMIT,
            identifiers.StatementKind.ROLLBACK,
        }
        if not self.is_pinned and ends_nothing:
            return _done()
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
        fleet = current.tree.fleet
        own = fleet.workspaces.get(grant.workspace)
        allowed = own.databases if own else []
        name = self.database
        if not name and len(allowed) == 1:
            name = allowed[0]
        if not name:
            raise errors.RefusedError(refusal=refusals.no_database(allowed))
        route = fleet.routes.get(name)
        target = route.database if route else name
        if target in allowed or (route and route.open):
            return identifiers.DatabaseName(target)
        raise errors.RefusedError(refusal=refusals.database_denied(name, grant))

    def _check_place(self, grant: keys.Grant) -> None:
        if self.is_pinned:
            return
        current = typing.cast(view.FleetView, self._shared.current_view())
        if self._shared.is_stopping():
            raise errors.RefusedError(refusal=refusals.stopping())
        if not ranking.is_zone_in(self._shared.zone, current.tree.fleet):
            raise errors.RefusedError(
                refusal=refusals.zone_out(self._shared.zone)
            )

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


def _done() -> messages.Answer:
    return messages.Answer(
        request_id=identifiers.RequestId(0),
        outcome=identifiers.Outcome.DONE,
    )


def _insert_id_answer(insert_id: int) -> messages.Answer:
    column = messages.Column(
        name='LAST_INSERT_ID()',
        type_code=types.ColumnType.LONGLONG,
        character_set=charset.Collation.binary,
    )
    return messages.Answer(
        request_id=identifiers.RequestId(0),
        outcome=identifiers.Outcome.DONE,
        columns=(column,),
        rows=[(str(insert_id).encode(),)],
    )
