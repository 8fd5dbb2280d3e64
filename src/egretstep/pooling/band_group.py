"""The bands of one class, timely or late, with one band for each level."""

import typing

from egretstep import clock
from egretstep.backends import server_load
from egretstep.pooling import fair_share, service_times, wait_band

# Each priority level gets this many times the share of the next.
LEVEL_WEIGHT_FACTOR = 4


class BandGroup:
    """Divides the share of one class between priority levels.

    `account` is the class's own account, whose weight is its share.
    """

    def __init__(
        self,
        *,
        weight: float,
        times: service_times.ServiceTimes,
        time_source: clock.Clock,
    ) -> None:
        self._share = fair_share.FairShare()
        self.account = fair_share.Account(weight=weight)
        self.bands = tuple(
            wait_band.WaitBand(
                level=level,
                weight=_weight_of(level),
                times=times,
                time_source=time_source,
            )
            for level in range(server_load.PRIORITY_LEVEL_COUNT)
        )

    @property
    def waiting(self) -> int:
        """Return how many statements wait in all bands."""
        return sum(band.waiting for band in self.bands)

    @property
    def work_seconds(self) -> float:
        """Return the expected service time of all waiting statements."""
        return sum(band.work_seconds for band in self.bands)

    def first_band(self) -> wait_band.WaitBand:
        """Return the band that is served next."""
        return min(
            (band for band in self.bands if band.waiting),
            key=lambda band: self._share.start_of(band.account),
        )

    def charge(self, band: wait_band.WaitBand, seconds: float) -> None:
        """Charge the account of a band."""
        self._share.charge(band.account, seconds)


def _weight_of(level: int) -> float:
    levels_below = server_load.PRIORITY_LEVEL_COUNT - 1 - level
    return typing.cast(float, LEVEL_WEIGHT_FACTOR**levels_below)
