"""Stand-in for the platform's database servers: one group on loopback.

Here are their sessions, which speak the line protocol.
"""

import asyncio
import itertools
import typing

from standins import line_group

_numbers = itertools.count(1)


def make_group(service: str, zones: typing.Sequence[str]) -> line_group.Group:
    """Make a service with one server in each of some zones."""
    return line_group.Group(service=service, zones=zones, serve=serve)


async def serve(
    server: line_group.Server,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Serve one session of a server until it ends."""
    await _Connection(server=server, reader=reader, writer=writer).run()


class _StatementError(Exception):
    """An ERROR answer with its code."""


class _Connection:
    """One session at a server."""

    def __init__(
        self,
        *,
        server: line_group.Server,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._server = server
        self._reader = reader
        self._writer = writer
        self._workspace = ''
        self._values: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self._state = 'I'
        self._writes: list[tuple[str, str]] = []

    async def run(self) -> None:
        """Serve until the other end closes."""
        if not await self._start():
            return
        while True:
            line = await self._reader.readline()
            if not line:
                return
            while self._server.faults.is_silent:
                await asyncio.sleep(0.01)
            _, statement_id, text = line.decode().rstrip('\r\n').split(' ', 2)
            answer = await self._answer(statement_id, text)
            lost = self._server.faults.lost_answers
            if lost and statement_id != '-':
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
        self._server.group.connects[self._server.name] += 1
        self._send(self._ready())
        return True

    def _send(self, *lines: str) -> None:
        text = ''.join(f'{line}\r\n' for line in lines)
        self._writer.write(text.encode())

    def _ready(self) -> str:
        term, number = self._server.position
        return f'READY {self._state} {term}.{number}'

    async def _answer(self, statement_id: str, text: str) -> list[str]:
        try:
            lines = await self._execute(statement_id, text)
        except _StatementError as error:
            if self._state == 'T':
                self._state = 'E'
            lines = [f'ERROR {error} {self._server.name}']
        return [*lines, self._ready()]

    async def _execute(self, statement_id: str, text: str) -> list[str]:
        words = text.split(' ')
        if words[0] == 'SYNCPOS':
            self._check_position(words[1])
            words = words[2:]
        verb = words[0]
        if verb in {'SET', 'PREPARE', 'RESET'}:
            return self._change_session(words)
        if verb in {'STATUS', 'STEPDOWN'}:
            return self._status(verb)
        if verb == 'BEGIN':
            return self._begin(words)
        if verb == 'ROLLBACK':
            self._state = 'I'
            self._writes = []
            return ['COMPLETE -']
        return await self._run(statement_id, text, words)

    def _check_position(self, text: str) -> None:
        term, _, number = text.partition('.')
        if self._server.position < (int(term), int(number)):
            raise _StatementError('LAGGING')

    def _change_session(self, words: list[str]) -> list[str]:
        if words[0] == 'SET':
            self._values[words[1]] = ' '.join(words[2:])
        elif words[0] == 'PREPARE':
            self._prepared[words[1]] = words[2]
        else:
            self._values = {}
            self._prepared = {}
        return ['COMPLETE -']

    def _status(self, verb: str) -> list[str]:
        server = self._server
        if verb == 'STEPDOWN':
            server.is_primary = False
        role = 'primary' if server.is_primary else 'replica'
        term, number = server.received
        return [
            f'ROW {role} {server.term} {term}.{number} 0 0 0 1',
            'COMPLETE -',
        ]

    def _begin(self, words: list[str]) -> list[str]:
        if len(words) == 1 and not self._server.is_primary:
            raise _StatementError('READONLY')
        self._state = 'T'
        return ['COMPLETE -']

    async def _run(
        self,
        statement_id: str,
        text: str,
        words: list[str],
    ) -> list[str]:
        await asyncio.sleep(self._server.faults.work)
        verb = words[0]
        if verb == 'EXECUTE':
            if words[1] not in self._prepared:
                raise _StatementError('NOSTMT')
            verb = self._prepared[words[1]]
            words = words[1:]
        if verb in {'WRITE', 'COMMIT'} and not self._server.is_primary:
            raise _StatementError('READONLY')
        rows = self._apply(verb, words)
        self._server.group.runs.append(
            line_group.Run(
                server=self._server.name,
                workspace=self._workspace,
                statement_id=statement_id,
                text=text,
                values=tuple(sorted(self._values.items())),
                position=self._server.position,
                at=asyncio.get_running_loop().time(),
            ),
        )
        return [*rows, f'COMPLETE mac.{self._server.name}.{next(_numbers)}']

    def _apply(self, verb: str, words: list[str]) -> list[str]:
        if verb == 'READ':
            return [f'ROW {self._read(words[1])}']
        if verb == 'WRITE':
            self._writes.append((words[1], words[2]))
        if verb == 'COMMIT' or self._state == 'I':
            if self._writes:
                self._server.group.commit(self._server, self._writes)
            self._writes = []
            self._state = 'I'
        return []

    def _read(self, item: str) -> str:
        position = self._server.position
        applied = [
            entry for entry in self._server.log if entry.position <= position
        ]
        return _last_content(applied, item)


def _last_content(applied: list[line_group.Entry], item: str) -> str:
    contents = 'none'
    for entry in applied:
        contents = dict(entry.writes).get(item, contents)
    return contents
