"""A caller of the stand-in deployment, which speaks the line protocol."""

import asyncio

DATABASE = 'loans'
DEPOT_KEY = 'key-of-depot'


class AnswerError(Exception):
    """A host answers with ERROR; `code` is the code on the wire."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(f'{code} {message}')
        self.code = code


class Caller:
    """A client session of the line protocol.

    `transaction_state` is what the last answer reports: 'I' when idle, 'T'
    in a transaction and 'E' in a failed transaction.
    """

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._statement_count = 0
        self.transaction_state = 'I'

    @classmethod
    async def connect(
        cls,
        port: int,
        *,
        database: str = DATABASE,
        key: str = DEPOT_KEY,
    ) -> 'Caller':
        """Open a session with the host that listens on `port`.

        Raises `AnswerError` if the session is refused.
        """
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        caller = cls(reader=reader, writer=writer)
        writer.write(f'START {database} {key}\r\n'.encode())
        await caller._read_rows()
        return caller

    async def run(self, text: str, statement_id: str = '') -> list[str]:
        """Run a statement and return its rows.

        Without `statement_id`, a new id is generated. Raises `AnswerError`
        if the host answers with an error, and `ConnectionResetError` if it
        closes the connection.
        """
        self._statement_count += 1
        sent_id = statement_id or f'{id(self):x}{self._statement_count}'
        self._writer.write(f'QUERY {sent_id} {text}\r\n'.encode())
        return await self._read_rows()

    def pause(self) -> None:
        """Read nothing, so that the host can't send the rest of an answer."""
        self._writer.transport.pause_reading()  # type: ignore[attr-defined]

    def resume(self) -> None:
        """Read again."""
        self._writer.transport.resume_reading()  # type: ignore[attr-defined]

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _read_rows(self) -> list[str]:
        messages = await self._read_messages()
        failures = [rest for word, rest in messages if word == 'ERROR']
        for word, rest in messages:
            if word == 'READY':
                self.transaction_state = rest[0]
        if failures:
            code, _, message = failures[0].partition(' ')
            raise AnswerError(code, message)
        if messages[-1][0] != 'READY':
            raise ConnectionResetError(
                'the host closed the connection before READY'
            )
        return [rest for word, rest in messages if word == 'ROW']

    async def _read_messages(self) -> list[tuple[str, str]]:
        """Return the messages up to READY or to the end of the stream."""
        messages = []
        word = ''
        while word != 'READY':
            line = (await self._reader.readline()).decode().rstrip('\r\n')
            word, _, rest = line.partition(' ')
            messages.append((word, rest))
            if not line:
                break
        return messages
