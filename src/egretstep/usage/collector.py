"""Adds up the counts of all hosts for each window, at the holder.

Load pattern: hosts send their counts again and again, late, twice or in the
wrong order, and start again in the middle of a window.
"""

import collections
import typing

from egretstep import identifiers
from egretstep.observability import metrics
from egretstep.usage import counter

# A host with the boot number of its process.
Source = tuple[identifiers.HostName, int]
# The cumulative counts of processes for windows.
SourceCounts = typing.Mapping[tuple[Source, int], counter.Counts]


class UsageCollector:
    """The counts of each host's process for the windows not yet composed.

    >>> name = identifiers.WorkspaceName('ward')
    >>> source = (identifiers.HostName('host-1'), 1)
    >>> collector = UsageCollector()
    >>> for counted in (3, 5, 3):
    ...     collector.record({(source, 8): {name: counted}})
    >>> collector.compose(8)
    {'ward': 5}
    """

    def __init__(self) -> None:
        self._counts: dict[
            tuple[Source, int], dict[identifiers.WorkspaceName, int]
        ] = {}
        self._composed_until = 0

    @property
    def held(self) -> SourceCounts:
        """Return the counts by process and window."""
        return self._counts

    def record(self, sent: SourceCounts) -> None:
        """Record the counts that a host sent, of itself or of others.

        Counts only grow, so an earlier message that arrives late changes
        nothing.
        """
        for (source, window), counts in sent.items():
            if window <= self._composed_until:
                metrics.late_usage_counts.inc(source[0])
                continue
            merged = self._counts.setdefault((source, window), {})
            for workspace, counted in counts.items():
                merged[workspace] = max(merged.get(workspace, 0), counted)

    def compose(self, window: int) -> dict[str, int]:
        """Return the sums for a window, which takes no more counts."""
        sums: collections.Counter[identifiers.WorkspaceName] = (
            collections.Counter()
        )
        for (_, counted_window), counts in self._counts.items():
            if counted_window == window:
                sums.update(counts)
        self._composed_until = max(self._composed_until, window)
        self.discard_until(window)
        return {name: sums[name] for name in sorted(sums)}

    def reopen(self) -> None:
        """Take counts for all windows again, which hosts send anew."""
        self._composed_until = 0

    def discard_until(self, window: int) -> None:
        """Discard the counts of the windows up to a given one."""
        self._counts = {
            key: counts
            for key, counts in self._counts.items()
            if key[1] > window
        }
