"""Claims on tasks, as the store keeps them and hosts tell each other."""

import dataclasses
import typing

import logbook
import orjson

from egretstep import identifiers

PREFIX = 'task/'
_logger = logbook.Logger('claims')

TaskName = typing.NewType('TaskName', str)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Who holds a task.

    `is_released` says that the former holder let go, and `is_settled` that
    the lease of every former holder has run out. `detail` is what the
    holder wants its successor to know. `revision` grows with each change
    of these within an epoch.
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
    def order(self) -> tuple[int, int]:
        """Return what tells a later claim from an earlier one."""
        return self.epoch, self.revision


class Confirmers(typing.Protocol):
    """Asks the other hosts about claims."""

    async def confirm(
        self,
        asked: typing.Sequence[Claim],
    ) -> list[typing.Sequence[Claim]]:
        """Return, for each host that answered, the later claims it knows."""

    def majority(self) -> int:
        """Return how many other hosts make a majority with this one."""


def encode(claim: Claim) -> bytes:
    """Write a claim as the content of its row."""
    return orjson.dumps(dataclasses.asdict(claim))


def decode(content: bytes) -> Claim | None:
    """Read the content of a row; none if it is empty or can't be read."""
    if not content:
        return None
    try:
        return Claim(**orjson.loads(content))
    except (TypeError, ValueError) as error:
        _logger.warning('unreadable claim {!r}: {!r}', content, error)
        return None
