"""Session of a caller that connects through the platform.

The session doesn't know the wire format. It holds its values, its prepared
statements and its transaction state, and answers what needs no server. BEGIN
needs none: the first statement of a transaction opens it on a server.
"""

import dataclasses
import itertools
import time
import typing

from egretstep import clock, identifiers
from egretstep.backends import answers, commands
from egretstep.callers import (
    access,
    platform_work,
    session_services,
    session_state,
)
from egretstep.observability import decisions
from egretstep.pooling import failure_answers
from egretstep.pooling import work as work_module
from egretstep.settings import deployment

QUOTED_BYTES = 40
_State = answers.TransactionState
_Action = commands.Action
_pin_ids = itertools.count(1)


class PlatformSession:
    """Answers the statements of one session, whose API key is `key`."""

    def __init__(
        self,
        *,
        database: identifiers.DatabaseName,
        key: str,
        services: session_services.SessionServices,
        parse_prepared: session_state.ParsePrepared,
    ) -> None:
        self._database = database
        self._key = key
        self._services = services
        self._session_state = session_state.SessionState(
            parse_prepared=parse_prepared,
        )
        self._transaction_state = _State.OUTSIDE
        self._transaction: session_services.Transaction | None = None
        self._floor = identifiers.LOG_START

    @property
    def is_outside_transaction(self) -> bool:
        """Tell whether no transaction is open."""
        return self._transaction_state is _State.OUTSIDE

    @property
    def held_bytes(self) -> int:
        """Return the size of the session's values and prepared statements."""
        return self._session_state.held_bytes

    def authorize(self) -> tuple[deployment.Route, identifiers.WorkspaceName]:
        """Return the route and workspace that the session may use now.

        Raises `access.SessionRefusedError` when its route or key is gone.
        """
        current = self._services.current_deployment()
        return access.authorize(current, database=self._database, key=self._key)

    async def handle(
        self,
        statement_id: bytes,
        command: commands.Command,
    ) -> answers.Answer:
        """Run one statement and return its answer.

        Raises `access.SessionRefusedError` when the session must end.
        """
        try:
            answer = await self._handle(statement_id, command)
        except access.SessionRefusedError as error:
            decisions.denied(
                statement_id,
                self._database,
                error.answer,
                self._services.current_deployment().version,
            )
            raise
        return dataclasses.replace(answer, state=self._transaction_state)

    async def close(self) -> None:
        """Roll back the open transaction, if there is one."""
        await self._release()

    async def _handle(
        self,
        statement_id: bytes,
        command: commands.Command,
    ) -> answers.Answer:
        if self._transaction_state is _State.FAILED:
            return await self._handle_failed(command)
        if command.action in session_state.LOCAL_ACTIONS:
            return self._session_state.apply(command) or self._refuse(command)
        if command.action is _Action.ROLLBACK:
            return await self._roll_back()
        if command.begins:
            return await self._begin(statement_id, command)
        return await self._run(statement_id, command)

    def _refuse(self, command: commands.Command) -> answers.Answer:
        """Return a refusal of the statement; an open transaction fails."""
        if self._transaction_state is _State.INSIDE:
            self._transaction_state = _State.FAILED
        return answers.refusal(
            answers.Code.MALFORMED,
            f'{command.text[:QUOTED_BYTES]!r} is no statement that can run here',
        )

    async def _handle_failed(self, command: commands.Command) -> answers.Answer:
        if command.action not in {_Action.ROLLBACK, _Action.COMMIT}:
            return answers.refusal(
                answers.Code.MALFORMED,
                'the transaction has failed; end it first',
            )
        rolled_back = await self._roll_back()
        if command.action is _Action.COMMIT:
            return answers.refusal(
                answers.Code.ABORTED,
                'the transaction had failed and was rolled back',
            )
        return rolled_back

    async def _roll_back(self) -> answers.Answer:
        self._transaction_state = _State.OUTSIDE
        await self._release()
        return answers.Answer()

    async def _release(self) -> None:
        transaction = self._transaction
        self._transaction = None
        if transaction is not None and transaction.host is not None:
            await self._services.dispatcher.release(
                transaction.host,
                transaction.pin_id,
                self._services.release_here,
            )

    async def _begin(
        self,
        statement_id: bytes,
        command: commands.Command,
    ) -> answers.Answer:
        if self._transaction_state is not _State.OUTSIDE:
            return self._refuse(command)
        started = time.monotonic()
        route, workspace = self.authorize()
        refusal = platform_work.refuse_while_stopping(
            statement_id, route, self._services.stop
        ) or await self._admit(statement_id, workspace)
        if refusal is not None:
            return refusal
        self._transaction = session_services.Transaction(
            pin_id=identifiers.PinId(next(_pin_ids)),
            is_read_only=command.action is _Action.BEGIN_READ,
            route=route,
            spent_seconds=time.monotonic() - started,
        )
        self._transaction_state = _State.INSIDE
        return answers.Answer()

    async def _admit(
        self,
        statement_id: bytes,
        workspace: identifiers.WorkspaceName,
    ) -> answers.Answer | None:
        if workspace == identifiers.ANONYMOUS_WORKSPACE:
            return None
        retry_after = await self._services.rate_limiter.admit(workspace)
        if retry_after is None:
            return None
        decisions.refused_by_rate(
            statement_id,
            workspace,
            retry_after,
            self._services.current_deployment().version,
        )
        return answers.refusal(
            answers.Code.OVERLOADED,
            f'{workspace} is above its rate',
            retry_after_ms=clock.to_milliseconds(retry_after),
        )

    async def _run(
        self,
        statement_id: bytes,
        command: commands.Command,
    ) -> answers.Answer:
        if command.action is _Action.EXECUTE:
            prepared = self._session_state.find_prepared(command.name)
            if prepared is None:
                return self._fail_transaction(session_state.unknown_prepared())
            command = dataclasses.replace(command, prepared=prepared)
        started = time.monotonic()
        transaction = self._transaction
        if transaction:
            answer = await self._run_in_transaction(statement_id, command)
        elif command.action is _Action.COMMIT:
            return self._refuse(command)
        else:
            answer = await self._run_autocommit(statement_id, command, started)
        self._advance_floor(command, answer)
        elapsed = time.monotonic() - started
        if transaction:
            transaction.spent_seconds += elapsed
        platform_work.record_outcome(
            statement_id=statement_id,
            database=self._database,
            elapsed=elapsed,
            answer=answer,
            current=self._services.current_deployment(),
        )
        return answer

    async def _run_autocommit(
        self,
        statement_id: bytes,
        command: commands.Command,
        started: float,
    ) -> answers.Answer:
        """Run a statement that arrived at the monotonic time `started`."""
        route, workspace = self.authorize()
        refusal = await self._admit(statement_id, workspace)
        if refusal is not None:
            return refusal
        spent_seconds = time.monotonic() - started
        work = self._new_work(
            statement_id, command, route, workspace, spent_seconds
        )
        if not self._services.stop.allows(work.timeout):
            return failure_answers.stopping(work)
        dispatched = await self._services.dispatcher.dispatch(work)
        return dispatched.answer

    async def _run_in_transaction(
        self,
        statement_id: bytes,
        command: commands.Command,
    ) -> answers.Answer:
        transaction = typing.cast(
            session_services.Transaction, self._transaction
        )
        workspace = self._authorize_in_transaction()
        work = dataclasses.replace(
            self._new_work(
                statement_id,
                command,
                transaction.route,
                workspace,
                transaction.spent_seconds,
            ),
            pin_id=transaction.pin_id,
        )
        host = transaction.host
        if host:
            work = dataclasses.replace(
                work, is_pinned=True, server=transaction.server
            )
        if self._services.stop.allows(work.timeout):
            answer = await (
                self._services.dispatcher.run_in_transaction(host, work)
                if host
                else self._open_transaction(transaction, work)
            )
        else:
            answer = failure_answers.stopping(work)
        return await self._update_transaction(transaction, command, answer)

    def _authorize_in_transaction(self) -> identifiers.WorkspaceName:
        try:
            return self.authorize()[1]
        except access.SessionRefusedError:
            self._transaction_state = _State.FAILED
            raise

    async def _open_transaction(
        self,
        transaction: session_services.Transaction,
        work: work_module.Work,
    ) -> answers.Answer:
        work = platform_work.opening(
            work, is_read_only=transaction.is_read_only
        )
        dispatched = await self._services.dispatcher.dispatch(work)
        if dispatched.answer.is_pinned:
            transaction.host = dispatched.host
            transaction.server = dispatched.server
        return dispatched.answer

    async def _update_transaction(
        self,
        transaction: session_services.Transaction,
        command: commands.Command,
        answer: answers.Answer,
    ) -> answers.Answer:
        if not answer.is_pinned:
            transaction.host = None
        if answer.is_ok and command.action is _Action.COMMIT:
            self._transaction_state = _State.OUTSIDE
            self._transaction = None
        elif not answer.is_ok:
            await self._release()
            ends = command.action is _Action.COMMIT
            self._transaction_state = _State.OUTSIDE if ends else _State.FAILED
        return answer

    def _fail_transaction(self, answer: answers.Answer) -> answers.Answer:
        """Mark an open transaction as failed; return the same answer."""
        if self._transaction_state is _State.INSIDE:
            self._transaction_state = _State.FAILED
        return answer

    def _advance_floor(
        self, command: commands.Command, answer: answers.Answer
    ) -> None:
        """Raise the position that later reads of the session must see."""
        writes = command.is_write or command.action is _Action.COMMIT
        if answer.is_ok and writes and answer.position is not None:
            self._floor = max(self._floor, answer.position)

    def _new_work(
        self,
        statement_id: bytes,
        command: commands.Command,
        route: deployment.Route,
        workspace: identifiers.WorkspaceName,
        spent_seconds: float,
    ) -> work_module.Work:
        reads_own_writes = route.consistency is deployment.Consistency.SESSION
        return dataclasses.replace(
            platform_work.new_work(
                statement_id=statement_id,
                command=command,
                route=route,
                workspace=workspace,
                spent_seconds=spent_seconds,
            ),
            values=self._session_state.session_values,
            floor=self._floor if reads_own_writes else identifiers.LOG_START,
        )
