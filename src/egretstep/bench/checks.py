"""Checks of promises from what the callers saw.

Each session writes counters that only grow, so that a read that shows less
than the session's last acknowledged write is a violation. Each write adds
to a total that is compared with the acknowledged ones at the end.
"""

import collections
import dataclasses
import enum


class Promise(enum.Enum):
    """Promises that the load can check from outside."""

    READ_YOUR_WRITES = 'read-your-writes'
    WRITE_ONCE = 'write at most once'
    NO_LOST_WRITE = 'no acknowledged write lost'
    OWN_ANSWER = 'answer to its own request'
    ISOLATION = 'transactions never mix'


@dataclasses.dataclass(slots=True)
class Ledger:
    """What the callers know of one counter row."""

    acknowledged: int = 0
    unknown: int = 0


class Violations:
    """Counts of broken promises, with the first few described."""

    def __init__(self) -> None:
        self.counts: collections.Counter[Promise] = collections.Counter()
        self.examples: list[str] = []

    def note(self, promise: Promise, description: str) -> None:
        """Count a violation."""
        self.counts[promise] += 1
        if len(self.examples) < 10:
            self.examples.append(f'{promise.value}: {description}')

    @property
    def total(self) -> int:
        """Return how many violations there were."""
        return sum(self.counts.values())


def check_total(
    *,
    violations: Violations,
    name: str,
    ledger: Ledger,
    stored: int,
) -> None:
    """Compare a counter in the database with what callers were told.

    A write with an unknown outcome may have run once or not at all.
    """
    if stored < ledger.acknowledged:
        violations.note(
            Promise.NO_LOST_WRITE,
            f'{name}: {ledger.acknowledged} acknowledged, {stored} stored',
        )
    if stored > ledger.acknowledged + ledger.unknown:
        violations.note(
            Promise.WRITE_ONCE,
            f'{name}: {ledger.acknowledged} acknowledged, {ledger.unknown} '
            f'unknown, {stored} stored',
        )
