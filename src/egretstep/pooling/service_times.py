"""Recent mean time that statements spend in a slot."""

import collections
import dataclasses

from egretstep import identifiers
from egretstep.backends import server_load

INITIAL_SERVICE_ESTIMATE_SECONDS = 0.002
NEWEST_SAMPLE_SHARE = 0.2
# Means over many workspaces get more samples and may change more slowly.
NEWEST_LEVEL_SAMPLE_SHARE = 0.05
# Means of workspaces and levels that are kept. A workspace that sends again
# after its mean was dropped starts with that of the level.
MAX_WORKSPACE_MEANS = 4096


@dataclasses.dataclass(slots=True, kw_only=True)
class _Mean:
    """Decaying mean; the first samples have equal shares."""

    newest_share: float
    seconds: float = INITIAL_SERVICE_ESTIMATE_SECONDS
    sample_count: int = 0

    def add(self, seconds: float) -> None:
        self.sample_count += 1
        share = max(self.newest_share, 1 / self.sample_count)
        self.seconds += share * (seconds - self.seconds)


class ServiceTimes:
    """Mean service times of levels and of their workspaces.

    A workspace without a sample has the mean of its level, and a level
    without one that of the server.

    >>> times = ServiceTimes()
    >>> times.record(0, identifiers.WorkspaceName('depot'), 0.03)
    >>> times.of_workspace(0, identifiers.WorkspaceName('new'))
    0.03
    >>> times.of_level(2)
    0.03
    """

    def __init__(self) -> None:
        self._server = _Mean(newest_share=NEWEST_LEVEL_SAMPLE_SHARE)
        self._levels = [
            _Mean(newest_share=NEWEST_LEVEL_SAMPLE_SHARE)
            for _ in range(server_load.PRIORITY_LEVEL_COUNT)
        ]
        self._workspaces: collections.OrderedDict[
            tuple[int, identifiers.WorkspaceName], _Mean
        ] = collections.OrderedDict()

    @property
    def mean_seconds(self) -> float:
        """Return the mean of all statements, in seconds."""
        return self._server.seconds

    def record(
        self,
        level: int,
        workspace: identifiers.WorkspaceName,
        seconds: float,
    ) -> None:
        """Record the service time of one statement."""
        mean = self._workspace_mean(level, workspace)
        for each in (mean, self._levels[level], self._server):
            each.add(seconds)

    def of_workspace(
        self, level: int, workspace: identifiers.WorkspaceName
    ) -> float:
        """Return the mean of a workspace's statements, in seconds."""
        mean = self._workspaces.get((level, workspace))
        return mean.seconds if mean else self.of_level(level)

    def of_level(self, level: int) -> float:
        """Return the mean of a level's statements, in seconds."""
        mean = self._levels[level]
        return mean.seconds if mean.sample_count else self._server.seconds

    def _workspace_mean(
        self, level: int, workspace: identifiers.WorkspaceName
    ) -> _Mean:
        """Return a mean to update; the least recent one above the limit goes."""
        key = (level, workspace)
        mean = self._workspaces.pop(key, None)
        if mean is None:
            mean = _Mean(newest_share=NEWEST_SAMPLE_SHARE)
        self._workspaces[key] = mean
        if len(self._workspaces) > MAX_WORKSPACE_MEANS:
            self._workspaces.popitem(last=False)
        return mean
