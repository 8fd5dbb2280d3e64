"""Stand-in for one database server of a group.

It speaks the MySQL protocol, runs SQL on sqlite in memory and keeps a log
with terms and positions. Its control statements are procedures: `CALL
group_fence(term, 'owner')` and the others below. Tests give it faults with
`CALL fault_set('name', value)`.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import logging
import re
import typing

import asyncmy
import uvloop
from mysql_mimic import auth, errors, results, types

from standins import log, mysql_server, storage

CODE_STALE_TERM = 1290
CODE_READ_ONLY = 1792
CODE_TOO_MANY_CONNECTIONS = 1040
CODE_LOCK_TIMEOUT = 1205
CODE_QUORUM_LOST = 1180
REPLICATION_USER = 'replicator'
FAULT_USER = 'fault'
PULL_BATCH = 500
PULL_WAIT_SECONDS = 0.2
QUORUM_WAIT_SECONDS = 2.0
LOCK_WAIT_SECONDS = 5.0
_CALL = re.compile(r'^\s*CALL\s+(\w+)\((.*)\)\s*$', re.IGNORECASE | re.DOTALL)
_SLEEP = re.compile(r'SLEEP\(([0-9.]+)\)', re.IGNORECASE)
_READ = re.compile(
    r'^\s*(/\*.*?\*/\s*)?(SELECT|SHOW|WITH|EXPLAIN)', re.I | re.S
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults that a test can set while the server runs, times in seconds."""

    apply_lag: float = 0
    answer_delay: float = 0
    silent: float = 0
    refuse_connections: float = 0
    stop_replication: float = 0
    lose_commit_answers: float = 0
    accept_stale_terms: float = 0
    silent_old: float = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Options:
    """How the server is set up."""

    name: str
    address: str
    port: int
    slots: int
    connections: int
    connect_delay: float
    statement_delay: float
    group_size: int
    commit: str
    apply_lag: float = 0


class Member:
    """State of one server of the group: term, role, log and storage."""

    def __init__(self, *, options: Options) -> None:
        self.options = options
        self.faults = Faults(apply_lag=options.apply_lag)
        self.log = log.ReplicatedLog()
        self.storage = storage.Storage()
        self.working = storage.Storage()
        self.promised_term = 0
        self.promised_owner = ''
        self.primary = False
        self.applied_index = 0
        self.follower_acks: dict[str, int] = {}
        self.received: list[str] = []
        self.slots = asyncio.Semaphore(options.slots)
        self.changed = asyncio.Condition()
        self.write_lock = asyncio.Lock()
        self.open_connections = 0
        self.most_connections = 0
        self.sessions: set[DatabaseSession] = set()
        self._follow_task: asyncio.Task[None] | None = None

    @property
    def applied_term(self) -> int:
        """Return the term of the last applied entry."""
        return self.log.term_at(self.applied_index)

    def status_row(self, accepted: bool) -> list[typing.Any]:
        """Return the row that every control procedure answers with."""
        return [
            int(accepted),
            self.options.name,
            int(self.primary),
            self.promised_term,
            self.promised_owner,
            self.log.last_term,
            self.log.last_index,
            self.applied_term,
            self.applied_index,
        ]

    async def notify(self) -> None:
        """Wake everything that waits for log, term or role."""
        async with self.changed:
            self.changed.notify_all()

    async def fence(self, term: int, owner: str) -> bool:
        """Promise a term to an owner, or renew the same promise."""
        if term < self.promised_term:
            return False
        if term == self.promised_term:
            return owner == self.promised_owner
        for session in list(self.sessions):
            if session.owner not in {'', owner}:
                session.end()
        self.promised_term = term
        self.promised_owner = owner
        self.primary = False
        self._stop_following()
        await self.notify()
        return True

    async def promote(self, term: int, owner: str) -> bool:
        """Become the primary of a promised term."""
        if (term, owner) != (self.promised_term, self.promised_owner):
            return False
        if self.primary:
            return True
        self._stop_following()
        self._apply_to(self.log.last_index)
        self.log.append(log.Entry(term, ()))
        self.applied_index = self.log.last_index
        self.follower_acks = {}
        self.primary = True
        await self.notify()
        return True

    async def follow(self, term: int, owner: str, port: int) -> bool:
        """Replicate from the primary of a promised term."""
        if (term, owner) != (self.promised_term, self.promised_owner):
            return False
        self._stop_following()
        self.primary = False
        self._follow_task = asyncio.create_task(self._follow(term, port))
        return True

    async def commit(self, term: int, statements: tuple[str, ...]) -> int:
        """Append a transaction and wait until a majority has received it."""
        index = self.log.append(log.Entry(term, statements))
        self.storage.apply(statements)
        self.applied_index = index
        await self.notify()
        if self.options.commit == 'quorum':
            await self._wait_quorum(term, index)
        return index

    async def wait_applied(
        self,
        term: int,
        index: int,
        timeout: float,
    ) -> bool:
        """Wait until a position is applied here."""

        def is_applied() -> bool:
            return (self.applied_term, self.applied_index) >= (term, index)

        try:
            async with asyncio.timeout(timeout), self.changed:
                await self.changed.wait_for(is_applied)
        except TimeoutError:
            return False
        return True

    async def pull(
        self,
        follower: str,
        term: int,
        index: int,
        last_term: int,
    ) -> dict[str, typing.Any]:
        """Serve a follower: acknowledge its log and send what follows."""
        if not self.primary or term != self.promised_term:
            return {'stale': True}
        if not self.log.matches(index, last_term):
            return {'back_to': self._common_index(index, last_term)}
        self.follower_acks[follower] = index
        await self.notify()
        if index == self.log.last_index:
            await self._wait_longer_log(index)
        entries = self.log.after(index, PULL_BATCH)
        return {
            'entries': [[entry.term, entry.statements] for entry in entries],
        }

    async def _wait_longer_log(self, index: int) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PULL_WAIT_SECONDS), self.changed:
                await self.changed.wait_for(
                    lambda: self.log.last_index > index or not self.primary,
                )

    def _common_index(self, index: int, last_term: int) -> int:
        common = min(index, self.log.last_index)
        if common < index:
            return common
        while common and self.log.term_at(common) > last_term:
            common -= 1
        return common if common < index else max(0, index - 1)

    async def _wait_quorum(self, term: int, index: int) -> None:
        needed = self.options.group_size // 2

        def has_quorum() -> bool:
            acks = [ack for ack in self.follower_acks.values() if ack >= index]
            return len(acks) >= needed or self.promised_term != term

        try:
            async with asyncio.timeout(QUORUM_WAIT_SECONDS), self.changed:
                await self.changed.wait_for(has_quorum)
        except TimeoutError as error:
            raise mysql_error(
                CODE_QUORUM_LOST, 'no quorum; outcome unknown'
            ) from error
        if self.promised_term != term:
            raise mysql_error(CODE_QUORUM_LOST, 'term ended; outcome unknown')

    def _stop_following(self) -> None:
        if self._follow_task:
            self._follow_task.cancel()
            self._follow_task = None

    async def _follow(self, term: int, port: int) -> None:
        while True:
            try:
                await self._follow_once(term, port)
            except (OSError, asyncmy.errors.Error, TimeoutError):
                await asyncio.sleep(PULL_WAIT_SECONDS)

    async def _follow_once(self, term: int, port: int) -> None:
        connection = await asyncmy.connect(
            host=self.options.address,
            port=port,
            user=REPLICATION_USER,
            connect_timeout=1,
        )
        try:
            while True:
                if self.faults.stop_replication:
                    await asyncio.sleep(PULL_WAIT_SECONDS)
                    continue
                async with asyncio.timeout(1 + PULL_WAIT_SECONDS):
                    answer = await self._ask(connection, term)
                await self._receive(answer)
        finally:
            connection.close()

    async def _ask(
        self,
        connection: asyncmy.Connection,
        term: int,
    ) -> dict[str, typing.Any]:
        name = self.options.name
        last = f'{self.log.last_index}, {self.log.last_term}'
        async with connection.cursor() as cursor:
            await cursor.execute(f"CALL group_pull('{name}', {term}, {last})")
            row = await cursor.fetchone()
        return json.loads(row[0])

    async def _receive(self, answer: dict[str, typing.Any]) -> None:
        if answer.get('stale'):
            await asyncio.sleep(PULL_WAIT_SECONDS)
        if 'back_to' in answer:
            self._truncate(answer['back_to'])
        entries = answer.get('entries', [])
        for entry_term, statements in entries:
            self.log.append(log.Entry(entry_term, tuple(statements)))
        if not entries:
            return
        if self.faults.apply_lag:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.faults.apply_lag,
                lambda index: asyncio.ensure_future(self._apply_later(index)),
                self.log.last_index,
            )
        else:
            await self._apply_later(self.log.last_index)

    async def _apply_later(self, index: int) -> None:
        self._apply_to(min(index, self.log.last_index))
        await self.notify()

    def _apply_to(self, index: int) -> None:
        for entry in self.log.after(
            self.applied_index,
            max(0, index - self.applied_index),
        ):
            self.storage.apply(entry.statements)
            self.working.apply(entry.statements)
            self.applied_index += 1

    def _truncate(self, index: int) -> None:
        self.log.truncate(index)
        if self.applied_index > index:
            self.storage.reset()
            self.working.reset()
            self.applied_index = 0
            self._apply_to(index)


def mysql_error(code: int, message: str) -> errors.MysqlError:
    """Make an error with any code."""
    return errors.MysqlError(message, typing.cast(errors.ErrorCode, code))


class DatabaseSession(mysql_server.ReplyingSession):
    """One connection to the stand-in server."""

    def __init__(self, *, member: Member) -> None:
        super().__init__()
        self._member = member
        self._term = 0
        self._owner = ''
        self._is_counted = False
        self._is_cut = False
        self._connection: typing.Any = None
        self._transaction: list[str] | None = None
        self._holds_lock = False

    @property
    def in_transaction(self) -> bool:
        """Tell whether a transaction is open on this connection."""
        return self._transaction is not None

    async def init(self, connection: typing.Any) -> None:
        """Count the connection; replication has connections of its own."""
        self._connection = connection
        member = self._member
        while member.faults.silent > 1 and self.username != FAULT_USER:
            await asyncio.sleep(PULL_WAIT_SECONDS / 10)
        if self.username == REPLICATION_USER:
            return
        if member.open_connections >= member.options.connections:
            raise mysql_error(CODE_TOO_MANY_CONNECTIONS, 'too many connections')
        self._is_counted = True
        member.open_connections += 1
        member.most_connections = max(
            member.most_connections,
            member.open_connections,
        )
        member.sessions.add(self)

    def cut(self) -> None:
        """Leave this connection silent for good; new ones work."""
        self._is_cut = True

    def end(self) -> None:
        """Close the connection, because its owner was fenced."""
        if self._connection:
            self._connection.stream.writer.close()

    @property
    def owner(self) -> str:
        """Return the owner that bound the connection to its term."""
        return self._owner

    async def answer(self, sql: str) -> mysql_server.Reply:
        """Run one statement, with the delays that the faults set."""
        faults = self._member.faults
        call = _CALL.match(sql)
        if call and call.group(1).startswith('fault'):
            return self._set_fault(call.group(2))
        while faults.silent or self._is_cut:
            await asyncio.sleep(PULL_WAIT_SECONDS / 10)
        if faults.answer_delay:
            await asyncio.sleep(faults.answer_delay)
        if call and call.group(1).startswith('group_'):
            return await self._control(call.group(1), call.group(2))
        self._member.received.append(sql)
        return await self._statement(sql)

    async def reset(self) -> None:
        """Roll back and forget the state of the session."""
        self._rollback()

    async def close(self) -> None:
        """Roll back when the connection ends."""
        self._rollback()
        self._member.sessions.discard(self)
        if self._is_counted:
            self._is_counted = False
            self._member.open_connections -= 1

    def _set_fault(self, arguments: str) -> mysql_server.Reply:
        name, setting = (part.strip(" '") for part in arguments.split(','))
        setattr(self._member.faults, name, float(setting))
        if name == 'silent_old':
            for session in self._member.sessions:
                session.cut()
        return mysql_server.Reply(columns=[], rows=[])

    async def _control(self, name: str, text: str) -> mysql_server.Reply:
        arguments = json.loads(f'[{text}]'.replace("'", '"'))
        if name == 'group_pull':
            pulled = await self._member.pull(*arguments)
            return _text_reply('entries', json.dumps(pulled))
        if name == 'group_counters':
            counters = {'most_connections': self._member.most_connections}
            return _text_reply('counters', json.dumps(counters))
        if name == 'group_received':
            return _text_reply('received', json.dumps(self._member.received))
        accepted = await self._run_control(name, arguments)
        row = self._member.status_row(accepted)
        columns = [
            results.ResultColumn(f'field_{index}', types.ColumnType.VARCHAR)
            for index in range(len(row))
        ]
        return mysql_server.Reply(
            columns=columns,
            rows=[tuple(str(field) for field in row)],
        )

    async def _run_control(
        self,
        name: str,
        arguments: list[typing.Any],
    ) -> bool:
        member = self._member
        if name == 'group_fence':
            return await member.fence(*arguments)
        if name == 'group_promote':
            return await member.promote(*arguments)
        if name == 'group_follow':
            return await member.follow(*arguments)
        if name == 'group_wait':
            return await member.wait_applied(*arguments)
        if name == 'group_session':
            self._term = arguments[0]
            self._owner = arguments[1]
            return self._term >= member.promised_term
        return True

    async def _statement(self, sql: str) -> mysql_server.Reply:
        word = sql.strip().rstrip(';').split(None, 1)[0].upper()
        if word in {'BEGIN', 'START'}:
            await self._begin()
            return mysql_server.Reply(columns=[], rows=[])
        if word == 'ROLLBACK':
            self._rollback()
            return mysql_server.Reply(columns=[], rows=[])
        self._check_term()
        if word == 'COMMIT':
            return await self._commit()
        if word == 'SET':
            return mysql_server.Reply(columns=[], rows=[])
        return await self._in_slot(sql)

    async def _in_slot(self, sql: str) -> mysql_server.Reply:
        member = self._member
        async with member.slots:
            pause = _SLEEP.search(sql)
            seconds = float(pause.group(1)) if pause else 0
            await asyncio.sleep(member.options.statement_delay + seconds)
            if _READ.match(sql):
                self._check_term()
                visible = member.working if self._holds_lock else member.storage
                return _rows_reply(visible.execute(sql))
        return await self._write(sql)

    async def _write(self, sql: str) -> mysql_server.Reply:
        if self._transaction is not None:
            self._check_primary()
            await self._lock()
            done = self._member.working.execute(sql)
            self._transaction.append(sql)
            return _rows_reply(done)
        await self._begin()
        try:
            self._check_primary()
            await self._lock()
            done = self._member.working.execute(sql)
            typing.cast(list[str], self._transaction).append(sql)
        except errors.MysqlError:
            self._rollback()
            raise
        committed = await self._commit()
        return _rows_reply(done)._replace(information=committed.information)

    async def _begin(self) -> None:
        self._check_term()
        if self._transaction is not None:
            await self._commit()
        self._transaction = []

    async def _lock(self) -> None:
        if self._holds_lock:
            return
        try:
            async with asyncio.timeout(LOCK_WAIT_SECONDS):
                await self._member.write_lock.acquire()
        except TimeoutError as error:
            raise mysql_error(CODE_LOCK_TIMEOUT, 'lock wait timeout') from error
        self._holds_lock = True
        self._check_primary()
        self._member.working.begin()

    async def _commit(self) -> mysql_server.Reply:
        statements = tuple(self._transaction or ())
        if self._transaction is None or not self._holds_lock:
            self._transaction = None
            return mysql_server.Reply(columns=[], rows=[])
        try:
            self._check_primary()
        except errors.MysqlError:
            self._rollback()
            raise
        self._member.working.commit()
        self._unlock()
        if not statements:
            return mysql_server.Reply(columns=[], rows=[])
        term = self._member.promised_term
        index = await self._member.commit(term, statements)
        while self._member.faults.lose_commit_answers:
            await asyncio.sleep(PULL_WAIT_SECONDS)
        return mysql_server.Reply(
            columns=[],
            rows=[],
            information=f'{term}:{index}',
        )

    def _rollback(self) -> None:
        if self._holds_lock:
            self._member.working.rollback()
            self._unlock()
        self._transaction = None

    def _unlock(self) -> None:
        self._transaction = None
        self._holds_lock = False
        self._member.write_lock.release()

    def _check_term(self) -> None:
        member = self._member
        if member.faults.accept_stale_terms:
            return
        if self._term != member.promised_term:
            self._rollback()
            raise mysql_error(
                CODE_STALE_TERM,
                f'term {self._term} is not {member.promised_term}; not run',
            )

    def _check_primary(self) -> None:
        self._check_term()
        if not self._member.primary:
            raise mysql_error(CODE_READ_ONLY, 'not the primary; not run')


def _text_reply(name: str, text: str) -> mysql_server.Reply:
    column = results.ResultColumn(name, types.ColumnType.VARCHAR)
    return mysql_server.Reply(columns=[column], rows=[(text,)])


def _rows_reply(done: storage.StatementResult) -> mysql_server.Reply:
    return mysql_server.Reply(
        columns=done.columns,
        rows=done.rows,
        affected_rows=done.affected_rows,
        insert_id=done.insert_id,
    )


class AnyUser(auth.SimpleIdentityProvider):
    """Accepts the system's own credentials, whatever they are."""


class DatabaseServer(mysql_server.ReplyingServer):
    """The listening server, with its connection limit and delay."""

    def __init__(self, *, member: Member) -> None:
        super().__init__(
            session_factory=lambda: DatabaseSession(member=member),
            identity_provider=AnyUser(),
        )
        self._member = member

    async def admit(self) -> errors.MysqlError | None:
        """Refuse connections for a fault, after the set delay."""
        member = self._member
        if member.faults.refuse_connections:
            return mysql_error(CODE_TOO_MANY_CONNECTIONS, 'refused by a fault')
        await asyncio.sleep(member.options.connect_delay)
        return None


async def serve(options: Options) -> None:
    """Run the server until it is cancelled."""
    server = DatabaseServer(member=Member(options=options))
    await server.start_server(host=options.address, port=options.port)
    await server.serve_forever()


def parse_options(arguments: list[str] | None = None) -> Options:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', required=True)
    parser.add_argument('--address', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--slots', type=int, default=3)
    parser.add_argument('--connections', type=int, default=30)
    parser.add_argument('--connect-delay', type=float, default=0.01)
    parser.add_argument('--statement-delay', type=float, default=0)
    parser.add_argument('--apply-lag', type=float, default=0)
    parser.add_argument('--group-size', type=int, default=3)
    parser.add_argument('--commit', default='quorum')
    return Options(**parser.parse_args(arguments).__dict__)


def main() -> None:
    """Start the program."""
    logging.disable(logging.CRITICAL)
    with contextlib.suppress(KeyboardInterrupt):
        uvloop.run(serve(parse_options()))


if __name__ == '__main__':
    main()
