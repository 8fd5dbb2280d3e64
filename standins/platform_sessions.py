"""Sessions of the stand-in for the platform's database servers.

They speak the line protocol. `platform_servers` holds the state of the servers.
"""

import asyncio
import itertools
import typing

from standins import platform_servers

_execution_numbers = itertools.count(1)


def make_group(
    service: str, zones: typing.Sequence[str], *, sync_replicas: int = 0
) -> platform_servers.Group:
    """Return a service with one server per zone; the first is primary."""
    return platform_servers.Group(
        service=service, zones=zones, serve=serve, sync_replicas=sync_replicas
    )


async def serve(
    server: platform_servers.Server,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Serve one session of a server until the client closes it."""
    await _Session(server=server, reader=reader, writer=writer).run()


class _StatementError(Exception):
    """The server answers with ERROR and the code in the message."""


class _Session:
    """One session at a server.

    The transaction state is 'I' when idle, 'T' in a transaction and 'E' in a
    transaction in which a statement failed.
    """

    def __init__(
        self,
        *,
        server: platform_servers.Server,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._server = server
        self._reader = reader
        self._writer = writer
        self._workspace = ''
        self._session_values: dict[str, str] = {}
        self._prepared_statements: dict[str, str] = {}
        self._transaction_state = 'I'
        self._pending_writes: list[tuple[str, str]] = []
        self._committed_position: platform_servers.Position = (1, 0)

    async def run(self) -> None:
        """Answer statements in order until the client closes the session."""
        if not await self._start():
            return
        while True:
            line = await self._reader.readline()
            if not line:
                return
            while self._server.faults.is_silent:
                await asyncio.sleep(0.01)
            _, statement_id, text = line.decode().rstrip('\r\n').split(' ', 2)
            answer = await self._answer_statement(statement_id, text)
            lost_answers = self._server.faults.lost_answers
            if lost_answers and statement_id != '-':
                self._server.faults.lost_answers -= 1
                continue
            self._send(*answer)

    async def _start(self) -> bool:
        fields = (await self._reader.readline()).decode().split()
        while self._server.faults.is_silent:
            await asyncio.sleep(0.01)
        if len(self._server.writers) > self._server.faults.connection_limit:
            self._send(f'ERROR CONNLIMIT {self._server.name}')
            return False
        if not fields:
            return False
        service = self._server.group.service
        if fields[1] != service or fields[3] != self._server.name:
            self._send(f'ERROR WRONGNODE {self._server.name}')
            return False
        self._workspace = fields[2]
        self._server.group.session_counts[self._server.name] += 1
        self._send(self._format_ready())
        return True

    def _send(self, *lines: str) -> None:
        text = ''.join(f'{line}\r\n' for line in lines)
        self._writer.write(text.encode())

    def _format_ready(self) -> str:
        term, index = self._server.applied_position
        return f'READY {self._transaction_state} {term}.{index}'

    async def _answer_statement(
        self, statement_id: str, text: str
    ) -> list[str]:
        try:
            lines = await self._execute(statement_id, text)
        except _StatementError as error:
            if self._transaction_state == 'T':
                self._transaction_state = 'E'
            lines = [f'ERROR {error} {self._server.name}']
        return [*lines, self._format_ready()]

    async def _execute(self, statement_id: str, text: str) -> list[str]:
        words = text.split(' ')
        if words[0] == 'SYNCPOS':
            self._check_position(words[1])
            words = words[2:]
        verb = words[0]
        if verb in {'SET', 'PREPARE', 'RESET'}:
            return self._change_session(words)
        if verb in {'STATUS', 'STEPDOWN'}:
            return self._report_status(verb)
        if verb == 'BEGIN':
            return self._begin(words)
        if verb == 'ROLLBACK':
            self._transaction_state = 'I'
            self._pending_writes = []
            return ['COMPLETE -']
        return await self._run_statement(statement_id, text, words)

    def _check_position(self, text: str) -> None:
        term, _, index = text.partition('.')
        if self._server.applied_position < (int(term), int(index)):
            raise _StatementError('LAGGING')

    def _change_session(self, words: list[str]) -> list[str]:
        if words[0] == 'SET':
            self._session_values[words[1]] = ' '.join(words[2:])
        elif words[0] == 'PREPARE':
            self._prepared_statements[words[1]] = words[2]
        else:
            self._session_values = {}
            self._prepared_statements = {}
        return ['COMPLETE -']

    def _report_status(self, verb: str) -> list[str]:
        server = self._server
        if verb == 'STEPDOWN':
            server.is_primary = False
        role = 'primary' if server.is_primary else 'replica'
        term, index = server.last_position
        return [
            f'ROW {role} {server.term} {term}.{index} 0 0 0 1',
            'COMPLETE -',
        ]

    def _begin(self, words: list[str]) -> list[str]:
        if len(words) == 1 and not self._server.is_primary:
            raise _StatementError('READONLY')
        self._transaction_state = 'T'
        return ['COMPLETE -']

    async def _run_statement(
        self,
        statement_id: str,
        text: str,
        words: list[str],
    ) -> list[str]:
        await asyncio.sleep(self._server.faults.work)
        verb = words[0]
        if verb == 'EXECUTE':
            if words[1] not in self._prepared_statements:
                raise _StatementError('NOSTMT')
            verb = self._prepared_statements[words[1]]
            words = words[1:]
        if verb in {'WRITE', 'COMMIT'} and not self._server.is_primary:
            raise _StatementError('READONLY')
        rows = self._apply(verb, words, statement_id)
        await self._server.group.wait_received(
            self._server, self._committed_position
        )
        self._server.group.executed_statements.append(
            platform_servers.ExecutedStatement(
                server=self._server.name,
                workspace=self._workspace,
                statement_id=statement_id,
                text=text,
                values=tuple(sorted(self._session_values.items())),
                position=self._server.applied_position,
                executed_at=asyncio.get_running_loop().time(),
            ),
        )
        return [
            *rows,
            f'COMPLETE mac.{self._server.name}.{next(_execution_numbers)}',
        ]

    def _apply(
        self, verb: str, words: list[str], statement_id: str
    ) -> list[str]:
        faults = self._server.faults
        if verb == 'READ' and faults.row_bytes:
            row = 'r' * faults.row_bytes
            return [f'ROW {row}' for _ in range(faults.row_count)]
        if verb == 'READ':
            return [f'ROW {self._read(words[1])}']
        if verb == 'WRITE':
            self._pending_writes.append((words[1], words[2]))
        if verb == 'COMMIT' or self._transaction_state == 'I':
            if self._pending_writes:
                self._committed_position = self._server.group.commit(
                    self._server, self._pending_writes, statement_id
                )
            self._pending_writes = []
            self._transaction_state = 'I'
        return []

    def _read(self, item: str) -> str:
        position = self._server.applied_position
        applied_entries = [
            entry for entry in self._server.log if entry.position <= position
        ]
        return _latest_value(applied_entries, item)


def _latest_value(
    applied_entries: list[platform_servers.Entry], item: str
) -> str:
    latest = 'none'
    for entry in applied_entries:
        latest = dict(entry.writes).get(item, latest)
    return latest
