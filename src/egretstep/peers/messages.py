"""Typed requests and answers, and their encoding as Cap'n Proto messages."""

import dataclasses
import typing

from egretstep import errors, identifiers
from egretstep.peers import schema

NO_HOST = identifiers.HostName('')
_KINDS = tuple(identifiers.StatementKind)
_KIND_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}
_OUTCOMES = tuple(identifiers.Outcome)
_OUTCOME_NUMBERS = {kind: number for number, kind in enumerate(_OUTCOMES)}

Cell = bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StatementRequest:
    """One statement of a caller, as sent to the owner of the database.

    `floor` is the log position that the caller's connection has seen and
    `timeout_ms` the time left until the caller's deadline. `max_staleness_ms`
    is the replica lag that a read accepts; with None, the read must see the
    session's own writes. With `expect_pin`, the caller is inside a
    transaction, and the statement must not run outside of it.
    """

    request_id: identifiers.RequestId
    workspace: identifiers.WorkspaceName
    database: identifiers.DatabaseName
    sql: bytes
    kind: identifiers.StatementKind
    session_id: identifiers.SessionId = identifiers.SessionId('')
    floor: identifiers.LogPosition = identifiers.LOG_START
    pin_id: identifiers.PinId = identifiers.PinId(0)
    expect_pin: bool = False
    timeout_ms: int
    max_staleness_ms: int | None = None
    request_key: identifiers.RequestKey = identifiers.RequestKey('')
    traceparent: str = ''
    zone: identifiers.ZoneName = identifiers.ZoneName('')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Column:
    """Name, MySQL type code and character set of a result column."""

    name: str
    type_code: int
    character_set: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """Answer of the owner: an outcome with a result or an error.

    `rows` holds the cells as bytes of the MySQL text protocol. If the
    answering host does not hold the term, `redirect` names the host that is
    known to hold it.
    """

    request_id: identifiers.RequestId
    outcome: identifiers.Outcome
    error_code: int = 0
    sql_state: str = ''
    message: str = ''
    retry_after_ms: int = 0
    affected_rows: int = 0
    insert_id: int = 0
    columns: tuple[Column, ...] = ()
    rows: typing.Sequence[tuple[Cell, ...]] = ()
    pinned: bool = False
    in_transaction: bool = False
    position: identifiers.LogPosition = identifiers.LOG_START
    server: identifiers.ServerName = identifiers.ServerName('')
    primary: bool = True
    redirect: identifiers.HostName = identifiers.HostName('')


def refusal_answer(
    *,
    request_id: identifiers.RequestId,
    refusal: errors.Refusal,
    redirect: identifiers.HostName = NO_HOST,
    pinned: bool = False,
) -> Answer:
    """Return the answer that reports a refusal to the caller.

    A refused statement does not end the transaction that it belongs to.
    """
    return Answer(
        request_id=request_id,
        outcome=refusal.outcome,
        error_code=refusal.kind.code,
        sql_state=refusal.kind.sql_state,
        message=refusal.text(),
        retry_after_ms=refusal.retry_after_ms,
        redirect=redirect,
        pinned=pinned,
        in_transaction=pinned,
    )


def encode_request(
    request: StatementRequest,
    timeout_ms: int,
) -> typing.Any:
    """Encode a request, with the time that is left until its deadline.

    Fields with their default value are not set, because each takes time.
    """
    message = schema.StatementRequest.new_message()
    message.requestId = request.request_id
    message.workspace = request.workspace
    message.database = request.database
    message.sql = request.sql
    message.kind = _KIND_NUMBERS[request.kind]
    message.pinId = request.pin_id
    message.timeoutMs = timeout_ms
    message.zone = request.zone
    if request.floor.offset:
        _encode_position(request.floor, message.floor)
    if request.session_id:
        message.sessionId = request.session_id
    if request.expect_pin:
        message.expectPin = True
    if request.max_staleness_ms is not None:
        message.maxStalenessMs = request.max_staleness_ms
    if request.request_key:
        message.requestKey = request.request_key
    if request.traceparent:
        message.traceparent = request.traceparent
    return message


def decode_request(message: typing.Any) -> StatementRequest:
    """Decode a request from a Cap'n Proto message."""
    staleness = message.maxStalenessMs
    return StatementRequest(
        request_id=message.requestId,
        workspace=message.workspace,
        database=message.database,
        sql=bytes(message.sql),
        kind=_KINDS[message.kind.raw],
        session_id=message.sessionId,
        floor=_decode_position(message.floor),
        pin_id=message.pinId,
        expect_pin=message.expectPin,
        timeout_ms=message.timeoutMs,
        max_staleness_ms=None if staleness < 0 else staleness,
        request_key=message.requestKey,
        traceparent=message.traceparent,
        zone=message.zone,
    )


def encode_answer(answer: Answer, message: typing.Any) -> None:
    """Encode an answer into a new Cap'n Proto message."""
    message.requestId = answer.request_id
    message.outcome = _OUTCOME_NUMBERS[answer.outcome]
    message.server = answer.server
    message.primary = answer.primary
    if answer.position.offset:
        _encode_position(answer.position, message.position)
    if answer.pinned:
        message.pinned = True
        message.inTransaction = answer.in_transaction
    if answer.outcome is identifiers.Outcome.DONE:
        _encode_result(answer, message)
    else:
        _encode_error(answer, message)


def decode_answer(message: typing.Any) -> Answer:
    """Decode an answer from a Cap'n Proto message."""
    outcome = _OUTCOMES[message.outcome.raw]
    if outcome is not identifiers.Outcome.DONE:
        return _decode_error(message, outcome)
    columns = tuple(
        Column(
            name=column.name,
            type_code=column.typeCode,
            character_set=column.characterSet,
        )
        for column in message.columns
    )
    return Answer(
        request_id=message.requestId,
        outcome=outcome,
        affected_rows=message.affectedRows,
        insert_id=message.insertId,
        columns=columns,
        rows=_decode_rows(message, len(columns)),
        pinned=message.pinned,
        in_transaction=message.inTransaction,
        position=_decode_position(message.position),
        server=message.server,
        primary=message.primary,
    )


def _encode_result(answer: Answer, message: typing.Any) -> None:
    if answer.columns:
        _encode_rows(answer, message)
        return
    message.affectedRows = answer.affected_rows
    message.insertId = answer.insert_id


def _encode_error(answer: Answer, message: typing.Any) -> None:
    message.errorCode = answer.error_code
    message.sqlState = answer.sql_state
    message.message = answer.message
    message.retryAfterMs = answer.retry_after_ms
    message.redirect = answer.redirect


def _decode_error(
    message: typing.Any,
    outcome: identifiers.Outcome,
) -> Answer:
    return Answer(
        request_id=message.requestId,
        outcome=outcome,
        error_code=message.errorCode,
        sql_state=message.sqlState,
        message=message.message,
        retry_after_ms=message.retryAfterMs,
        pinned=message.pinned,
        in_transaction=message.inTransaction,
        redirect=message.redirect,
    )


def _encode_position(
    position: identifiers.LogPosition,
    message: typing.Any,
) -> None:
    message.term = position.term
    message.index = position.offset


def _decode_position(message: typing.Any) -> identifiers.LogPosition:
    index = message.index
    if not index:
        return identifiers.LOG_START
    return identifiers.LogPosition(term=message.term, offset=index)


def _encode_rows(answer: Answer, message: typing.Any) -> None:
    message.columns = [
        {
            'name': column.name,
            'typeCode': column.type_code,
            'characterSet': column.character_set,
        }
        for column in answer.columns
    ]
    cells = [cell for row in answer.rows for cell in row]
    message.nullCells = [
        index for index, cell in enumerate(cells) if cell is None
    ]
    message.cells = [cell or b'' for cell in cells]


def _decode_rows(
    message: typing.Any,
    width: int,
) -> list[tuple[Cell, ...]]:
    if not width:
        return []
    cells: list[Cell] = list(message.cells)
    for index in message.nullCells:
        cells[index] = None
    return [
        tuple(cells[start : start + width])
        for start in range(0, len(cells), width)
    ]
