"""Codec of the line protocol that callers and backend servers speak.

A message is one line of fields that are separated by blanks; the last field
runs to the end of the line.
"""

import asyncio
import typing

from egretstep import identifiers
from egretstep.backends import answers, commands

LINE_END = b'\r\n'
MAX_MESSAGE_BYTES = 1024 * 1024
NO_VALUE = b'-'
# Numbers are passed on to other hosts as signed 64-bit integers.
MAX_NUMBER_DIGITS = 18

# Error codes on the wire.
_CODES_BY_WORD = {
    'BUSY': answers.Code.OVERLOADED,
    'ABORTED': answers.Code.ABORTED,
    'LAGGING': answers.Code.BEHIND,
    'READONLY': answers.Code.NOT_PRIMARY,
    'WRONGNODE': answers.Code.WRONG_SERVER,
    'CONNLIMIT': answers.Code.TOO_MANY_CONNECTIONS,
    'NOSTMT': answers.Code.NO_PREPARED,
    'FAILED': answers.Code.FAILED,
    'TIMEOUT': answers.Code.TIMED_OUT,
    'INDOUBT': answers.Code.UNKNOWN_OUTCOME,
    'MALFORMED': answers.Code.MALFORMED,
    'NOAUTH': answers.Code.ACCESS_DENIED,
    'NODB': answers.Code.NO_DATABASE,
}
_WORDS_BY_CODE = {code: word for word, code in _CODES_BY_WORD.items()}
# Callers can't choose a host, so they are told to retry after a move.
_WORDS_BY_CODE[answers.Code.MOVED] = 'BUSY'
_STATES_BY_LETTER = {
    b'I': answers.TransactionState.OUTSIDE,
    b'T': answers.TransactionState.INSIDE,
    b'E': answers.TransactionState.FAILED,
}
_LETTERS_BY_STATE = {state: word for word, state in _STATES_BY_LETTER.items()}
_ACTIONS_WITHOUT_FIELDS = {
    b'BEGIN': commands.Action.BEGIN,
    b'BEGIN READ': commands.Action.BEGIN_READ,
    b'COMMIT': commands.Action.COMMIT,
    b'ROLLBACK': commands.Action.ROLLBACK,
}
_ACTIONS_WITH_FIELDS = {
    b'READ': commands.Action.READ,
    b'WRITE': commands.Action.WRITE,
    b'EXECUTE': commands.Action.EXECUTE,
    b'SET': commands.Action.SET,
    b'PREPARE': commands.Action.PREPARE,
    b'DEALLOC': commands.Action.DEALLOCATE,
}


class MalformedError(Exception):
    """A message violates the protocol."""


class AnswerReader:
    """Assembles the messages of one answer from a server."""

    def __init__(self) -> None:
        self._rows: list[bytes] = []
        self._code = answers.Code.OK
        self._message = ''
        self._proof = b''

    def add(self, line: bytes) -> answers.Answer | None:
        """Add the next message; return the answer after its last message.

        Raises `MalformedError` for an unknown message.
        """
        word, _, rest = line.partition(b' ')
        if word == b'READY':
            return self._finish(rest)
        if word == b'ROW':
            self._rows.append(rest)
        elif word == b'COMPLETE':
            self._proof = rest
        elif word == b'ERROR':
            code, message = parse_error(rest)
            self._code = code
            self._message = message
        else:
            raise MalformedError(
                f'expected ROW, COMPLETE, ERROR or READY, got {word!r}'
            )
        return None

    def _finish(self, rest: bytes) -> answers.Answer:
        state, _, position = rest.partition(b' ')
        return answers.Answer(
            code=self._code,
            message=self._message,
            rows=tuple(self._rows),
            proof=self._proof,
            state=parse_state(state),
            position=parse_position(position),
            was_sent=True,
        )


async def read_line(
    reader: asyncio.StreamReader,
    charge: typing.Callable[[int], None] | None = None,
) -> bytes | None:
    """Return the next message without its line end, or None at end of file.

    With `charge`, a message may be longer than the limit of the reader. It is
    then read in pieces, and `charge` is called with the size of each before
    the next is read; it may raise an error. Raises `MalformedError` for a
    message that is too long.
    """
    try:
        line = await reader.readuntil(LINE_END)
    except asyncio.IncompleteReadError:
        return None
    except asyncio.LimitOverrunError as error:
        if charge is None:
            raise _too_long() from error
        return await _read_in_pieces(reader, charge, error.consumed)
    return line[: -len(LINE_END)]


async def _read_in_pieces(
    reader: asyncio.StreamReader,
    charge: typing.Callable[[int], None],
    available: int,
) -> bytes | None:
    """Read a message of which `available` bytes are in the reader."""
    pieces: list[bytes] = []
    size = 0
    while available:
        size += available
        if size > MAX_MESSAGE_BYTES:
            raise _too_long()
        charge(available)
        pieces.append(await reader.readexactly(available))
        try:
            pieces.append(await reader.readuntil(LINE_END))
        except asyncio.IncompleteReadError:
            return None
        except asyncio.LimitOverrunError as error:
            available = error.consumed
        else:
            available = 0
    charge(len(pieces[-1]))
    line = b''.join(pieces)[: -len(LINE_END)]
    if len(line) > MAX_MESSAGE_BYTES:
        raise _too_long()
    return line


def _too_long() -> MalformedError:
    return MalformedError(
        f'a message is longer than {MAX_MESSAGE_BYTES} bytes',
    )


def parse_position(field: bytes) -> identifiers.LogPosition | None:
    """Parse `TERM.OFFSET`; return None for an absent or malformed position."""
    term_text, _, offset_text = field.partition(b'.')
    term = parse_number(term_text)
    offset = parse_number(offset_text)
    if term is None or offset is None:
        return None
    return identifiers.LogPosition(term=term, offset=offset)


def parse_number(field: bytes) -> int | None:
    """Parse a whole number; return None for anything else.

    >>> parse_number(b'12'), parse_number(b'')
    (12, None)
    """
    if field.isdigit() and len(field) <= MAX_NUMBER_DIGITS:
        return int(field)
    return None


def format_position(position: identifiers.LogPosition | None) -> bytes:
    """Return a position as `TERM.OFFSET`, or a hyphen for None."""
    if position is None:
        return NO_VALUE
    return b'%d.%d' % (position.term, position.offset)


def parse_state(field: bytes) -> answers.TransactionState:
    """Parse the transaction state of a READY message.

    Raises `MalformedError` for an unknown state.
    """
    try:
        return _STATES_BY_LETTER[field]
    except KeyError as error:
        valid = ', '.join(word.decode() for word in _STATES_BY_LETTER)
        raise MalformedError(
            f'unknown transaction state {field!r}; valid are {valid}',
        ) from error


def parse_error(rest: bytes) -> tuple[answers.Code, str]:
    """Parse what follows ERROR; an unknown code counts as `FAILED`."""
    word, _, message = rest.decode(errors='replace').partition(' ')
    return _CODES_BY_WORD.get(word, answers.Code.FAILED), f'{word} {message}'


def parse_command(text: bytes) -> commands.Command:
    """Parse the text of a QUERY message.

    A text that is not part of the protocol becomes an unknown action, which
    the session answers with an error.
    """
    plain = _ACTIONS_WITHOUT_FIELDS.get(text)
    if plain is not None:
        return commands.Command(action=plain, text=text)
    word, _, rest = text.partition(b' ')
    action = _ACTIONS_WITH_FIELDS.get(word)
    if action is None or not rest:
        return commands.Command(action=commands.Action.UNKNOWN, text=text)
    name, _, argument = rest.partition(b' ')
    return commands.Command(
        action=action,
        text=text,
        name=name,
        argument=argument,
    )


def parse_prepared(argument: bytes) -> commands.Prepared | None:
    """Parse `READ shape` or `WRITE shape`; return None for other texts."""
    word, _, shape = argument.partition(b' ')
    if word not in {b'READ', b'WRITE'} or not shape:
        return None
    return commands.Prepared(shape=shape, is_write=word == b'WRITE')


def format_answer(answer: answers.Answer) -> bytes:
    """Return the messages of an answer to a caller."""
    lines = [b'ROW %s' % row for row in answer.rows]
    lines.append(format_answer_end(answer))
    return LINE_END.join(lines)


def format_row(row: bytes) -> bytes:
    """Return the message of one row of an answer."""
    return b'ROW %s\r\n' % row


def format_answer_end(answer: answers.Answer) -> bytes:
    """Return the messages of an answer that follow its rows."""
    lines = []
    if answer.is_ok:
        lines.append(b'COMPLETE %s' % (answer.proof or NO_VALUE))
    else:
        lines.append(_format_error(answer))
    state = _LETTERS_BY_STATE[answer.state]
    position = format_position(answer.position)
    lines.append(b'READY %s %s' % (state, position))
    lines.append(b'')
    return LINE_END.join(lines)


def format_refusal(answer: answers.Answer) -> bytes:
    """Return the message that refuses or ends a session."""
    return _format_error(answer) + LINE_END


def _format_error(answer: answers.Answer) -> bytes:
    message = answer.message or 'no reason known'
    if answer.retry_after_ms:
        message = f'{message}; retry after {answer.retry_after_ms} ms'
    line = ' '.join(message.split())
    return f'ERROR {_WORDS_BY_CODE[answer.code]} {line}'.encode()
