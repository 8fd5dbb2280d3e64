"""Claims on tasks, as stored and as exchanged between hosts."""

import dataclasses
import typing

import logbook
import orjson

from egretstep import errors, identifiers, json_fields
from egretstep.membership import fencing
from egretstep.storage import tables

PREFIX = 'task/'
_logger = logbook.Logger('claims')

TaskName = typing.NewType('TaskName', str)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """The holder of a task in an epoch.

    `boot` is the boot number of the holder's process. `is_released` means
    that the former holder handed the task over, `is_settled` that the lease
    of every former holder has expired. `detail` is text that the holder
    leaves to its successor. `revision` grows with each change of a claim
    within its epoch.
    """

    task: TaskName
    host: identifiers.HostName
    boot: int
    epoch: int
    is_released: bool = False
    is_settled: bool = False
    detail: str = ''
    revision: int = 0

    @property
    def precedence(self) -> tuple[int, int]:
        """Return the sort key: a later claim has a greater one."""
        return self.epoch, self.revision


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Confirmation:
    """The answers of other hosts to claims that were sent to them.

    `newer` holds the later claims known to each host that answered;
    `has_quorum` says whether these hosts are a quorum of the voters.
    """

    newer: typing.Sequence[typing.Sequence[Claim]]
    has_quorum: bool


class Confirmers(typing.Protocol):
    """The other hosts, which confirm claims."""

    async def confirm(self, sent: typing.Sequence[Claim]) -> Confirmation:
        """Return what the other hosts know of the claims."""


def encode(claim: Claim) -> bytes:
    """Encode a claim as the content of its row."""
    return orjson.dumps(dataclasses.asdict(claim))


def decode(content: bytes) -> Claim | None:
    """Decode the content of a row; None if it is empty or malformed."""
    if not content:
        return None
    try:
        return _decode(json_fields.JsonFields.decode(content))
    except errors.MalformedFieldError as error:
        _logger.warning('malformed claim in the store is ignored: {}', error)
        return None


def decode_row(row: tables.Row) -> Claim | None:
    """Decode a row; None if it holds no claim that a host can have made."""
    claim = decode(row.content)
    if claim is None:
        return None
    is_own = fencing.is_own_row(
        row, key=PREFIX + claim.task, number=claim.epoch
    )
    return claim if is_own else None


def _decode(fields: json_fields.JsonFields) -> Claim:
    return Claim(
        task=TaskName(fields.name('task')),
        host=identifiers.HostName(fields.name('host')),
        boot=fields.integer('boot'),
        epoch=fields.integer('epoch'),
        is_released=fields.flag('is_released', default=False),
        is_settled=fields.flag('is_settled', default=False),
        detail=fields.text('detail', default=''),
        revision=fields.integer('revision', default=0),
    )
