"""Conversion between the structs of the fleet schema and Python types.

The `encode` functions return the fields of a struct as a dictionary; the
`decode` functions read a Cap'n Proto struct.
"""

import typing

from egretstep import clock, identifiers
from egretstep.backends import answers, commands, connection, server_load
from egretstep.membership import claims
from egretstep.pooling import work as work_module
from egretstep.settings import deployment
from egretstep.storage import change_feed, tables

NO_MAX_STALENESS_MS = -1
NO_TARGET_MS = -1

Struct = typing.Any


def encode_work(work: work_module.Work) -> dict[str, typing.Any]:
    """Encode a statement as the fields of a `Work` struct."""
    command = work.command
    fields: dict[str, typing.Any] = {
        'statementId': work.statement_id,
        'text': command.text,
        'action': command.action.value,
        'argument': command.argument,
        'workspace': work.workspace,
        'service': work.service,
        'server': work.server,
        'floor': _encode_position(work.floor),
        'pinId': work.pin_id,
        'opens': work.opens.value,
        'isPinned': work.is_pinned,
        'timeoutMs': clock.to_milliseconds(work.timeout),
        'priority': work.priority,
    }
    if work.max_staleness is not None:
        fields['stalenessMs'] = clock.to_milliseconds(work.max_staleness)
    if work.target is not None:
        fields['targetMs'] = clock.to_milliseconds(work.target)
    if command.prepared is not None:
        fields['shape'] = command.prepared.shape
        fields['shapeWrites'] = command.prepared.is_write
    if work.values:
        fields['values'] = [
            {'name': name, 'content': content} for name, content in work.values
        ]
    return fields


def decode_work(fields: Struct) -> work_module.Work:
    """Decode a statement from a `Work` struct."""
    shape = bytes(fields.shape)
    prepared = (
        commands.Prepared(shape=shape, is_write=fields.shapeWrites)
        if shape
        else None
    )
    staleness = fields.stalenessMs
    return work_module.Work(
        statement_id=bytes(fields.statementId),
        command=commands.Command(
            action=commands.Action(fields.action),
            text=bytes(fields.text),
            argument=bytes(fields.argument),
            prepared=prepared,
        ),
        workspace=identifiers.WorkspaceName(fields.workspace),
        service=deployment.ServiceName(fields.service),
        server=connection.ServerId(fields.server),
        values=tuple(
            (bytes(struct.name), bytes(struct.content))
            for struct in fields.values
        ),
        floor=decode_position(fields.floor),
        max_staleness=(
            None
            if staleness == NO_MAX_STALENESS_MS
            else clock.to_seconds(staleness)
        ),
        pin_id=identifiers.PinId(fields.pinId),
        opens=work_module.Opens(fields.opens),
        is_pinned=fields.isPinned,
        timeout=clock.to_seconds(fields.timeoutMs),
        priority=fields.priority,
        target=(
            None
            if fields.targetMs == NO_TARGET_MS
            else clock.to_seconds(fields.targetMs)
        ),
    )


def encode_answer(answer: answers.Answer) -> dict[str, typing.Any]:
    """Encode an answer as the fields of a `Result` struct."""
    fields: dict[str, typing.Any] = {
        'code': answer.code.value,
        'message': answer.message,
        'rows': list(answer.rows),
        'proof': answer.proof,
        'state': answer.state.value,
        'retryAfterMs': answer.retry_after_ms,
        'isPinned': answer.is_pinned,
        'wasSent': answer.was_sent,
        'queuedMs': answer.queued_ms,
        'ranMs': answer.ran_ms,
    }
    if answer.position is not None:
        fields['position'] = _encode_position(answer.position)
        fields['hasPosition'] = True
    if answer.load is not None:
        fields['load'] = _encode_load(answer.load)
        fields['hasLoad'] = True
    return fields


def decode_answer(fields: Struct) -> answers.Answer:
    """Decode an answer from a `Result` struct."""
    position = decode_position(fields.position) if fields.hasPosition else None
    return answers.Answer(
        code=answers.Code(fields.code),
        message=fields.message,
        rows=tuple(bytes(row) for row in fields.rows),
        proof=bytes(fields.proof),
        state=answers.TransactionState(fields.state),
        position=position,
        retry_after_ms=fields.retryAfterMs,
        is_pinned=fields.isPinned,
        was_sent=fields.wasSent,
        queued_ms=fields.queuedMs,
        ran_ms=fields.ranMs,
        load=_decode_load(fields.load) if fields.hasLoad else None,
    )


def _encode_load(load: server_load.ServerLoad) -> dict[str, typing.Any]:
    return {
        'server': load.server,
        'capacity': load.capacity,
        'running': load.running,
        'waiting': load.waiting,
        'serviceSeconds': load.service_seconds,
        'failureShare': load.failure_share,
        'waits': list(load.waits),
    }


def _decode_load(fields: Struct) -> server_load.ServerLoad:
    return server_load.ServerLoad(
        server=fields.server,
        capacity=fields.capacity,
        running=fields.running,
        waiting=fields.waiting,
        service_seconds=fields.serviceSeconds,
        failure_share=fields.failureShare,
        waits=tuple(fields.waits) or (0.0,),
    )


def decode_position(fields: Struct) -> identifiers.LogPosition:
    """Decode a log position from a `Position` struct."""
    return identifiers.LogPosition(term=fields.term, offset=fields.offset)


def _encode_position(position: identifiers.LogPosition) -> dict[str, int]:
    return {'term': position.term, 'offset': position.offset}


def encode_claim(claim: claims.Claim) -> dict[str, typing.Any]:
    """Encode a claim as the fields of a `Claim` struct."""
    return {
        'resource': claim.task,
        'host': claim.host,
        'boot': claim.boot,
        'epoch': claim.epoch,
        'isReleased': claim.is_released,
        'isSettled': claim.is_settled,
        'detail': claim.detail,
        'revision': claim.revision,
    }


def decode_claim(fields: Struct) -> claims.Claim:
    """Decode a claim from a `Claim` struct."""
    return claims.Claim(
        task=claims.TaskName(fields.resource),
        host=identifiers.HostName(fields.host),
        boot=fields.boot,
        epoch=fields.epoch,
        is_released=fields.isReleased,
        is_settled=fields.isSettled,
        detail=fields.detail,
        revision=fields.revision,
    )


def decode_claims(fields: typing.Iterable[Struct]) -> list[claims.Claim]:
    """Decode claims from `Claim` structs."""
    return [decode_claim(each) for each in fields]


def encode_versions(known: change_feed.Versions) -> list[dict[str, typing.Any]]:
    """Encode versions by table as the fields of `TableVersion` structs."""
    return [
        {'table': table, 'version': version.number, 'era': version.era}
        for table, version in known.items()
    ]


def decode_versions(
    fields: typing.Iterable[Struct],
) -> dict[str, tables.Version]:
    """Decode `TableVersion` structs to versions by table."""
    return {struct.table: _decode_version(struct) for struct in fields}


def _decode_version(fields: Struct) -> tables.Version:
    return tables.Version(era=fields.era, number=fields.version)


def encode_table_changes(
    table: str,
    changed: tables.Snapshot,
) -> dict[str, typing.Any]:
    """Encode the changes of a table as the fields of a `TableChanges` struct."""
    return {
        'table': table,
        'version': changed.version.number,
        'era': changed.version.era,
        'rows': [
            {
                'key': row.key,
                'content': row.content,
                'version': row.version.number,
                'era': row.version.era,
                'isDeleted': row.is_deleted,
            }
            for row in changed.rows
        ],
        'isWhole': changed.keys is not None,
        'keys': sorted(changed.keys or ()),
    }


def decode_feed_update(reply: Struct) -> change_feed.FeedUpdate:
    """Decode an answer of another host's change feed."""
    return change_feed.FeedUpdate(
        age=clock.to_seconds(reply.ageMs),
        era=reply.era,
        tables={
            struct.table: _decode_table_changes(struct)
            for struct in reply.tables
        },
    )


def _decode_table_changes(fields: Struct) -> tables.Snapshot:
    rows = tuple(
        tables.Row(
            key=row.key,
            content=bytes(row.content),
            version=_decode_version(row),
            is_deleted=row.isDeleted,
        )
        for row in fields.rows
    )
    return tables.Snapshot(
        rows=rows,
        version=_decode_version(fields),
        keys=frozenset(fields.keys) if fields.isWhole else None,
    )
