"""Bounds on the age of a replica's data, from evidence.

The owner samples the primary's position together with the time before it
asked. A replica that has applied a sampled position has everything that was
committed before that time, whatever it says about its own lag.
"""

import collections
import math

from egretstep import clock, identifiers

KEPT_SAMPLES = 600


class StalenessEvidence:
    """Samples of the primary's position over time."""

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._samples: collections.deque[
            tuple[float, identifiers.LogPosition]
        ] = collections.deque(maxlen=KEPT_SAMPLES)

    def sample(
        self,
        *,
        position: identifiers.LogPosition,
        asked_at: float,
    ) -> None:
        """Note the primary's position, asked for at a time."""
        self._samples.append((asked_at, position))

    def age_bound(self, applied: identifiers.LogPosition) -> float:
        """Return the most seconds that data at a position may be old."""
        for asked_at, position in reversed(self._samples):
            if position <= applied:
                return self._clock.now() - asked_at
        return math.inf
