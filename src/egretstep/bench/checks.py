"""Checks of consistency guarantees from the answers that callers received.

Each session increments a counter of its own. A read that returns less than
the number of the session's acknowledged writes violates read-your-writes.
At the end of a run, the stored counter is compared with the number of
writes that were acknowledged or have an unknown outcome.
"""

import collections
import dataclasses
import enum


class Guarantee(enum.Enum):
    """Guarantees that callers can check from the answers they receive."""

    READ_YOUR_WRITES = 'read-your-writes'
    AT_MOST_ONCE = 'write at most once'
    NO_LOST_WRITE = 'no acknowledged write lost'
    MATCHING_ANSWER = 'answer to its own request'
    ISOLATION = 'transactions never mix'


@dataclasses.dataclass(slots=True)
class WriteCounts:
    """Numbers of writes to one counter row, by the answer received.

    `acknowledged` writes succeeded. `unknown` writes have an unknown outcome:
    each of them ran once or not at all.
    """

    acknowledged: int = 0
    unknown: int = 0


class Violations:
    """Numbers of violations by guarantee, and descriptions of the first ten."""

    def __init__(self) -> None:
        self.counts: collections.Counter[Guarantee] = collections.Counter()
        self.examples: list[str] = []

    def record(self, guarantee: Guarantee, description: str) -> None:
        """Count a violation, and keep its description if it is an early one."""
        self.counts[guarantee] += 1
        if len(self.examples) < 10:
            self.examples.append(f'{guarantee.value}: {description}')

    @property
    def total(self) -> int:
        """Return the number of violations of all guarantees."""
        return sum(self.counts.values())


def check_total(
    *,
    violations: Violations,
    name: str,
    writes: WriteCounts,
    stored: int,
) -> None:
    """Compare a counter in the database with the writes of its session.

    `name` is the session's name in the description of a violation, and
    `stored` is the counter at the end of the run. A write with an unknown
    outcome may have run once or not at all.
    """
    if stored < writes.acknowledged:
        violations.record(
            Guarantee.NO_LOST_WRITE,
            f'{name}: {writes.acknowledged} acknowledged, {stored} stored',
        )
    if stored > writes.acknowledged + writes.unknown:
        violations.record(
            Guarantee.AT_MOST_ONCE,
            f'{name}: {writes.acknowledged} acknowledged, {writes.unknown} '
            f'unknown, {stored} stored',
        )
