"""Callers of the system: sessions of the line protocol."""

import asyncio
import dataclasses
import itertools

from standins import record

_ids = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one statement.

    `request` is its id. `code` is `OK`, an error code, or `CLOSED` if the connection ended before
    READY. `times` are those of the request and of the answer.
    """

    request: str
    code: str
    rows: tuple[str, ...]
    proof: str
    state: str
    position: str
    times: tuple[float, float]

    @property
    def is_ok(self) -> bool:
        """Return whether the statement succeeded."""
        return self.code == 'OK'


class Session:
    """One session with a host."""

    def __init__(
        self,
        events: record.Record,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        name: str,
    ) -> None:
        self._events = events
        self._reader = reader
        self._writer = writer
        self._name = name

    @classmethod
    async def open(
        cls,
        events: record.Record,
        address: tuple[str, int],
        database: str,
        key: str,
        name: str,
    ) -> 'Session | None':
        """Open a session; return None if it is refused or takes over 2 s."""
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(f'START {database} {key}\r\n'.encode())
                line = await reader.readline()
        except (OSError, TimeoutError):
            return None
        if not line.startswith(b'READY'):
            writer.close()
            return None
        return cls(events, reader, writer, name)

    async def query(self, text: str) -> Answer:
        """Run a statement and return its answer."""
        statement_id = f'{next(_ids):016x}'
        sent = self._events.add(
            'request', caller=self._name, id=statement_id, text=repr(text)
        )
        try:
            self._writer.write(f'QUERY {statement_id} {text}\r\n'.encode())
            answer = await self._read_answer(statement_id, sent)
        except OSError:
            times = (sent, self._events.now())
            answer = Answer(statement_id, 'CLOSED', (), '', '', '', times)
        self._events.add(
            'answer',
            caller=self._name,
            id=statement_id,
            code=answer.code,
            proof=answer.proof,
            position=answer.position,
        )
        return answer

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _read_answer(self, request: str, sent: float) -> Answer:
        rows: list[str] = []
        code, proof = 'OK', ''
        while True:
            line = (await self._reader.readline()).decode().rstrip('\r\n')
            word, _, rest = line.partition(' ')
            now = self._events.now()
            if word == 'ROW':
                rows.append(rest)
            elif word == 'COMPLETE':
                proof = rest
            elif word == 'ERROR':
                code = rest.partition(' ')[0]
            elif word == 'READY':
                state, _, position = rest.partition(' ')
                return Answer(
                    request,
                    code,
                    tuple(rows),
                    proof,
                    state,
                    position,
                    (sent, now),
                )
            else:
                return Answer(request, 'CLOSED', (), '', '', '', (sent, now))
