"""Stand-in for one database server of a group.

It speaks the MySQL protocol, runs SQL on SQLite in memory and keeps a log of
transactions with terms and positions. It is controlled with procedures, such
as `CALL group_fence(term, 'owner')`. `CALL fault_set('name', value)` injects
a fault; `member.Faults` holds the names.
"""

import argparse
import asyncio
import contextlib
import json
import logging
import re
import typing

import uvloop
from mysql_mimic import auth, errors, results, types

from standins import member as member_module
from standins import mysql_server

ERROR_CODE_STALE_TERM = 1290
ERROR_CODE_READ_ONLY = 1792
ERROR_CODE_TOO_MANY_CONNECTIONS = 1040
ERROR_CODE_LOCK_TIMEOUT = 1205
FAULT_USER = 'fault'
LOCK_TIMEOUT_SECONDS = 5.0
_CALL = re.compile(r'^\s*CALL\s+(\w+)\((.*)\)\s*$', re.IGNORECASE | re.DOTALL)
_SLEEP = re.compile(r'SLEEP\(([0-9.]+)\)', re.IGNORECASE)
_READ = re.compile(
    r'^\s*(/\*.*?\*/\s*)?(SELECT|SHOW|WITH|EXPLAIN)', re.I | re.S
)


class DatabaseSession(mysql_server.ReplyingSession):
    """One connection to the server, with its term and transaction."""

    def __init__(self, *, member: member_module.Member) -> None:
        super().__init__()
        self._member = member
        self._term = 0
        self._owner = ''
        self._is_counted = False
        self._is_unanswered = False
        self._connection: typing.Any = None
        self._transaction_statements: list[str] | None = None
        self._holds_lock = False

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open on this connection."""
        return self._transaction_statements is not None

    async def init(self, connection: typing.Any) -> None:
        """Count the connection, unless it is for replication.

        Raises a MySQL error if there are too many connections.
        """
        self._connection = connection
        member = self._member
        while member.faults.silent > 1 and self.username != FAULT_USER:
            await asyncio.sleep(member_module.PULL_WAIT_SECONDS / 10)
        if self.username == member_module.REPLICATION_USER:
            return
        if member.open_connections >= member.options.connections:
            raise member_module.mysql_error(
                ERROR_CODE_TOO_MANY_CONNECTIONS, 'too many connections'
            )
        self._is_counted = True
        member.open_connections += 1
        member.peak_connections = max(
            member.peak_connections, member.open_connections
        )
        member.sessions.add(self)

    def stop_answering(self) -> None:
        """Leave every later statement on this connection unanswered."""
        self._is_unanswered = True

    def disconnect(self) -> None:
        """Close the connection, because its owner was fenced."""
        if self._connection:
            self._connection.stream.writer.close()

    @property
    def owner(self) -> str:
        """Return the owner given by `group_session`, empty before that."""
        return self._owner

    async def answer(self, sql: str) -> mysql_server.Reply:
        """Run one statement or procedure, with the delays of the faults."""
        faults = self._member.faults
        call = _CALL.match(sql)
        if call and call.group(1).startswith('fault'):
            return self._set_fault(call.group(2))
        while faults.silent or self._is_unanswered:
            await asyncio.sleep(member_module.PULL_WAIT_SECONDS / 10)
        if faults.answer_delay:
            await asyncio.sleep(faults.answer_delay)
        if call and call.group(1).startswith('group_'):
            return await self._answer_control(call.group(1), call.group(2))
        self._member.received_statements.append(sql)
        return await self._run_statement(sql)

    async def reset(self) -> None:
        """Roll back the open transaction; the term of the connection stays."""
        self._rollback()

    async def close(self) -> None:
        """Roll back the open transaction and uncount the connection."""
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
                session.stop_answering()
        return mysql_server.Reply(columns=[], rows=[])

    async def _answer_control(self, name: str, text: str) -> mysql_server.Reply:
        arguments = json.loads(f'[{text}]'.replace("'", '"'))
        if name == 'group_pull':
            pulled = await self._member.pull(*arguments)
            return mysql_server.text_reply('entries', json.dumps(pulled))
        if name == 'group_counters':
            counters = {'most_connections': self._member.peak_connections}
            return mysql_server.text_reply('counters', json.dumps(counters))
        if name == 'group_received':
            return mysql_server.text_reply(
                'received', json.dumps(self._member.received_statements)
            )
        accepted = await self._run_control(name, arguments)
        row = self._member.status_row(accepted)
        columns = [
            results.ResultColumn(f'field_{index}', types.ColumnType.VARCHAR)
            for index in range(len(row))
        ]
        return mysql_server.Reply(
            columns=columns, rows=[tuple(str(field) for field in row)]
        )

    async def _run_control(
        self, name: str, arguments: list[typing.Any]
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

    async def _run_statement(self, sql: str) -> mysql_server.Reply:
        keyword = sql.strip().rstrip(';').split(None, 1)[0].upper()
        if keyword in {'BEGIN', 'START'}:
            await self._begin()
            return mysql_server.Reply(columns=[], rows=[])
        if keyword == 'ROLLBACK':
            self._rollback()
            return mysql_server.Reply(columns=[], rows=[])
        self._check_term()
        if keyword == 'COMMIT':
            return await self._commit()
        if keyword == 'SET':
            return mysql_server.Reply(columns=[], rows=[])
        return await self._run_in_slot(sql)

    async def _run_in_slot(self, sql: str) -> mysql_server.Reply:
        member = self._member
        async with member.slots:
            sleep_call = _SLEEP.search(sql)
            sleep_seconds = float(sleep_call.group(1)) if sleep_call else 0
            await asyncio.sleep(member.options.statement_delay + sleep_seconds)
            if _READ.match(sql):
                self._check_term()
                read_storage = (
                    member.working_storage
                    if self._holds_lock
                    else member.committed_storage
                )
                return mysql_server.result_reply(read_storage.execute(sql))
        return await self._run_write(sql)

    async def _run_write(self, sql: str) -> mysql_server.Reply:
        if self._transaction_statements is not None:
            self._check_primary()
            await self._acquire_write_lock()
            executed = self._member.working_storage.execute(sql)
            self._transaction_statements.append(sql)
            return mysql_server.result_reply(executed)
        await self._begin()
        try:
            self._check_primary()
            await self._acquire_write_lock()
            executed = self._member.working_storage.execute(sql)
            typing.cast(list[str], self._transaction_statements).append(sql)
        except errors.MysqlError:
            self._rollback()
            raise
        committed = await self._commit()
        return mysql_server.result_reply(executed)._replace(
            information=committed.information
        )

    async def _begin(self) -> None:
        self._check_term()
        if self._transaction_statements is not None:
            await self._commit()
        self._transaction_statements = []

    async def _acquire_write_lock(self) -> None:
        if self._holds_lock:
            return
        try:
            async with asyncio.timeout(LOCK_TIMEOUT_SECONDS):
                await self._member.write_lock.acquire()
        except TimeoutError as error:
            raise member_module.mysql_error(
                ERROR_CODE_LOCK_TIMEOUT, 'lock wait timeout'
            ) from error
        self._holds_lock = True
        self._check_primary()
        self._member.working_storage.begin()

    async def _commit(self) -> mysql_server.Reply:
        statements = tuple(self._transaction_statements or ())
        if self._transaction_statements is None or not self._holds_lock:
            self._transaction_statements = None
            return mysql_server.Reply(columns=[], rows=[])
        try:
            self._check_primary()
        except errors.MysqlError:
            self._rollback()
            raise
        self._member.working_storage.commit()
        self._release_write_lock()
        if not statements:
            return mysql_server.Reply(columns=[], rows=[])
        term = self._member.promised_term
        index = await self._member.commit(term, statements)
        while self._member.faults.lose_commit_answers:
            await asyncio.sleep(member_module.PULL_WAIT_SECONDS)
        return mysql_server.Reply(
            columns=[], rows=[], information=f'{term}:{index}'
        )

    def _rollback(self) -> None:
        if self._holds_lock:
            self._member.working_storage.rollback()
            self._release_write_lock()
        self._transaction_statements = None

    def _release_write_lock(self) -> None:
        self._transaction_statements = None
        self._holds_lock = False
        self._member.write_lock.release()

    def _check_term(self) -> None:
        member = self._member
        if member.faults.accept_stale_terms:
            return
        if self._term != member.promised_term:
            self._rollback()
            raise member_module.mysql_error(
                ERROR_CODE_STALE_TERM,
                f'term {self._term} is not {member.promised_term}; not run',
            )

    def _check_primary(self) -> None:
        self._check_term()
        if not self._member.is_primary:
            raise member_module.mysql_error(
                ERROR_CODE_READ_ONLY, 'not the primary; not run'
            )


class AnyUserProvider(auth.SimpleIdentityProvider):
    """Accepts every user name and password."""


class DatabaseServer(mysql_server.ReplyingServer):
    """Listens for connections to one member of a group."""

    def __init__(self, *, member: member_module.Member) -> None:
        super().__init__(
            session_factory=lambda: DatabaseSession(member=member),
            identity_provider=AnyUserProvider(),
        )
        self._member = member

    async def admit(self) -> errors.MysqlError | None:
        """Refuse connections if a fault says so, else wait and accept."""
        member = self._member
        if member.faults.refuse_connections:
            return member_module.mysql_error(
                ERROR_CODE_TOO_MANY_CONNECTIONS, 'refused by a fault'
            )
        await asyncio.sleep(member.options.connect_delay)
        return None


async def serve(options: member_module.Options) -> None:
    """Run the server until the task is cancelled."""
    server = DatabaseServer(member=member_module.Member(options=options))
    await server.start_server(host=options.address, port=options.port)
    await server.serve_forever()


def parse_options(arguments: list[str] | None = None) -> member_module.Options:
    """Return the options from `arguments`, or from the command line."""
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
    return member_module.Options(**parser.parse_args(arguments).__dict__)


def main() -> None:
    """Run the server until it is interrupted, without logging."""
    logging.disable(logging.CRITICAL)
    with contextlib.suppress(KeyboardInterrupt):
        uvloop.run(serve(parse_options()))


if __name__ == '__main__':
    main()
