"""One caller's session, whatever wire it speaks.

Values, prepared names and the state of the transaction belong to the
session. Statements that need no server are answered here; a transaction is
opened on a server with its first statement.
"""

import dataclasses
import itertools
import time
import typing

from egretstep import clock, identifiers
from egretstep.backends import answers, commands
from egretstep.callers import access, names, parts
from egretstep.observability import decisions, metrics
from egretstep.pooling import work as work_module
from egretstep.settings import deployment

SHOWN_BYTES = 40
_State = answers.TransactionState
_Action = commands.Action
_pin_ids = itertools.count(1)


class Dialogue:
    """The state of one session and the answers to its statements."""

    def __init__(
        self,
        *,
        database: identifiers.DatabaseName,
        key: str,
        services: parts.Services,
        parse_prepared: names.ParsePrepared,
    ) -> None:
        self._database = database
        self._key = key
        self._services = services
        self._names = names.SessionNames(parse_prepared=parse_prepared)
        self._state = _State.OUTSIDE
        self._transaction: parts.Transaction | None = None
        self._floor = identifiers.LOG_START

    @property
    def is_outside(self) -> bool:
        """Tell whether no transaction is open."""
        return self._state is _State.OUTSIDE

    def check(self) -> tuple[deployment.Route, identifiers.WorkspaceName]:
        """Return the route and workspace that the session may use now.

        Raises `access.SessionRefusedError` when its database or key is gone.
        """
        current = self._services.current()
        return access.check(current, database=self._database, key=self._key)

    async def handle(
        self,
        statement_id: bytes,
        command: commands.Command,
    ) -> answers.Answer:
        """Answer one statement.

        Raises `access.SessionRefusedError` when the session must end.
        """
        try:
            answer = await self._handle(statement_id, command)
        except access.SessionRefusedError as error:
            decisions.denied(
                statement_id,
                self._database,
                error.answer,
                self._services.current().version,
            )
            raise
        return dataclasses.replace(answer, state=self._state)

    async def close(self) -> None:
        """Free what the session holds."""
        await self._release()

    async def _handle(
        self,
        statement_id: bytes,
        command: commands.Command,
    ) -> answers.Answer:
        if self._state is _State.FAILED:
            return await self._handle_failed(command)
        if command.action in _LOCAL:
            return self._names.apply(command) or self._malformed(command)
        if command.action is _Action.ROLLBACK:
            return await self._roll_back()
        if command.begins:
            return await self._begin(statement_id, command)
        return await self._run(statement_id, command)

    def _malformed(self, command: commands.Command) -> answers.Answer:
        if self._state is _State.INSIDE:
            self._state = _State.FAILED
        return answers.refusal(
            answers.Code.MALFORMED,
            f'{command.text[:SHOWN_BYTES]!r} is no statement that can run here',
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
        self._state = _State.OUTSIDE
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
        if self._state is not _State.OUTSIDE:
            return self._malformed(command)
        route, workspace = self.check()
        refused = await self._admit(statement_id, workspace)
        if refused is not None:
            return refused
        self._transaction = parts.Transaction(
            pin_id=identifiers.PinId(next(_pin_ids)),
            is_read_only=command.action is _Action.BEGIN_READ,
            route=route,
        )
        self._state = _State.INSIDE
        return answers.Answer()

    async def _admit(
        self,
        statement_id: bytes,
        workspace: identifiers.WorkspaceName,
    ) -> answers.Answer | None:
        if workspace == identifiers.ANONYMOUS_WORKSPACE:
            return None
        wait = await self._services.admitter.admit(workspace)
        if wait is None:
            return None
        decisions.refused_by_rate(
            statement_id,
            workspace,
            wait,
            self._services.current().version,
        )
        return answers.refusal(
            answers.Code.OVERLOADED,
            f'{workspace} is above its rate',
            retry_after_ms=clock.to_milliseconds(wait),
        )

    async def _run(
        self,
        statement_id: bytes,
        command: commands.Command,
    ) -> answers.Answer:
        if command.action is _Action.EXECUTE:
            prepared = self._names.prepared(command.name)
            if prepared is None:
                return self._fail(names.unknown_name())
            command = dataclasses.replace(command, prepared=prepared)
        started = time.monotonic()
        if self._transaction:
            answer = await self._run_inside(statement_id, command)
        elif command.action is _Action.COMMIT:
            return self._malformed(command)
        else:
            answer = await self._run_alone(statement_id, command)
        self._note(command, answer)
        elapsed = time.monotonic() - started
        self._account(statement_id, elapsed, answer)
        return answer

    def _account(
        self,
        statement_id: bytes,
        elapsed: float,
        answer: answers.Answer,
    ) -> None:
        """Count and, where it was not as it should be, log the outcome."""
        metrics.statements.inc(self._database, answer.code.value)
        metrics.statement_seconds.observe({}, elapsed)
        current = self._services.current()
        route = current.routes.get(self._database)
        if not answer.is_ok:
            decisions.failed(
                statement_id,
                self._database,
                elapsed,
                answer,
                current.version,
            )
        elif route is not None and elapsed > route.target:
            decisions.late(statement_id, self._database, elapsed, answer)

    async def _run_alone(
        self,
        statement_id: bytes,
        command: commands.Command,
    ) -> answers.Answer:
        route, workspace = self.check()
        refused = await self._admit(statement_id, workspace)
        if refused is not None:
            return refused
        work = self._work(statement_id, command, route, workspace)
        done = await self._services.dispatcher.dispatch(work)
        return done.answer

    async def _run_inside(
        self,
        statement_id: bytes,
        command: commands.Command,
    ) -> answers.Answer:
        transaction = typing.cast(parts.Transaction, self._transaction)
        workspace = self._workspace_inside()
        work = dataclasses.replace(
            self._work(statement_id, command, transaction.route, workspace),
            pin_id=transaction.pin_id,
        )
        if transaction.host is None:
            answer = await self._open(transaction, work)
        else:
            work = dataclasses.replace(
                work,
                is_pinned=True,
                server=transaction.server,
            )
            answer = await self._services.dispatcher.run_in_transaction(
                transaction.host,
                work,
            )
        return await self._settle(transaction, command, answer)

    def _workspace_inside(self) -> identifiers.WorkspaceName:
        try:
            return self.check()[1]
        except access.SessionRefusedError:
            self._state = _State.FAILED
            raise

    async def _open(
        self,
        transaction: parts.Transaction,
        work: work_module.Work,
    ) -> answers.Answer:
        opens = work_module.Opens.TRANSACTION
        if transaction.is_read_only:
            opens = work_module.Opens.READ_TRANSACTION
        staleness = work.max_staleness if transaction.is_read_only else None
        done = await self._services.dispatcher.dispatch(
            dataclasses.replace(work, opens=opens, max_staleness=staleness),
        )
        if done.answer.is_pinned:
            transaction.host = done.host
            transaction.server = done.server
        return done.answer

    async def _settle(
        self,
        transaction: parts.Transaction,
        command: commands.Command,
        answer: answers.Answer,
    ) -> answers.Answer:
        if not answer.is_pinned:
            transaction.host = None
        if answer.is_ok and command.action is _Action.COMMIT:
            self._state = _State.OUTSIDE
            self._transaction = None
        elif not answer.is_ok:
            await self._release()
            ends = command.action is _Action.COMMIT
            self._state = _State.OUTSIDE if ends else _State.FAILED
        return answer

    def _fail(self, answer: answers.Answer) -> answers.Answer:
        if self._state is _State.INSIDE:
            self._state = _State.FAILED
        return answer

    def _note(self, command: commands.Command, answer: answers.Answer) -> None:
        """Remember what the session has written."""
        writes = command.is_write or command.action is _Action.COMMIT
        if answer.is_ok and writes and answer.position is not None:
            self._floor = max(self._floor, answer.position)

    def _work(
        self,
        statement_id: bytes,
        command: commands.Command,
        route: deployment.Route,
        workspace: identifiers.WorkspaceName,
    ) -> work_module.Work:
        is_session = route.consistency is deployment.Consistency.SESSION
        staleness = route.max_staleness
        if route.consistency is deployment.Consistency.PRIMARY:
            staleness = None
        if command.is_write or command.action is _Action.COMMIT:
            staleness = None
        return work_module.Work(
            statement_id=statement_id,
            command=command,
            workspace=workspace,
            service=route.service,
            timeout=route.timeout,
            values=self._names.session_values,
            floor=self._floor if is_session else identifiers.LOG_START,
            max_staleness=staleness,
            priority=route.priority,
        )


_LOCAL = frozenset((
    _Action.SET,
    _Action.PREPARE,
    _Action.DEALLOCATE,
    _Action.UNKNOWN,
))
