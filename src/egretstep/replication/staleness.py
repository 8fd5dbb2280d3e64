"""Upper bounds on the age of a replica's data.

The owner samples the primary's log position and dates each sample with the
time before its request. A replica that has applied a sampled position has
every write that was committed before that time. The bound does not depend
on the lag that the replica reports.
"""

import collections
import math

from egretstep import clock, identifiers

MAX_SAMPLES = 600


class StalenessTracker:
    """Recent samples of the primary's log position."""

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._samples: collections.deque[
            tuple[float, identifiers.LogPosition]
        ] = collections.deque(maxlen=MAX_SAMPLES)

    def add_sample(
        self,
        *,
        position: identifiers.LogPosition,
        sent_at: float,
    ) -> None:
        """Add a position of the primary.

        `sent_at` is the monotonic time before it was requested.
        """
        self._samples.append((sent_at, position))

    def age_bound(self, applied: identifiers.LogPosition) -> float:
        """Return the greatest age in seconds of data at a log position.

        Returns infinity if the position precedes all samples.
        """
        for sent_at, position in reversed(self._samples):
            if position <= applied:
                return self._clock.now() - sent_at
        return math.inf
