"""Forecast of the wait at each position of a band, as things are now.

Load pattern: statements of other levels keep arriving, or a burst has just
begun. At sustained overload the rate at which the band itself got slots lately
tells the wait. Before it is known, the wait follows from the work that all
bands do until then, each within its share.
"""

import dataclasses
import typing

from egretstep.pooling import band_group, wait_band


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _OtherWork:
    """Service time that waits elsewhere, and its weight beside this one."""

    work_seconds: float
    relative_weight: float

    def until(self, own_seconds: float) -> float:
        """Return the work that is done here until `own_seconds` are done."""
        return min(self.work_seconds, own_seconds * self.relative_weight)


class BandForecast(typing.Protocol):
    """The wait at each position of a band."""

    def wait(self, position: int) -> float:
        """Return the forecast wait in seconds; positions count from one."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _MeasuredForecast:
    """Forecast from the recent time between two grants of the band."""

    seconds_per_grant: float
    silent_seconds: float

    def wait(self, position: int) -> float:
        return self.silent_seconds + position * self.seconds_per_grant


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _WorkForecast:
    """Forecast from the work that waits; `slots` serve it."""

    service_seconds: float
    silent_seconds: float
    slots: float
    levels: tuple[_OtherWork, ...]
    other_class: _OtherWork

    def wait(self, position: int) -> float:
        own_seconds = position * self.service_seconds
        class_seconds = own_seconds + sum(
            level.until(own_seconds) for level in self.levels
        )
        work_seconds = class_seconds + self.other_class.until(class_seconds)
        return self.silent_seconds + work_seconds / self.slots


def of_band(
    *,
    band: wait_band.WaitBand,
    group: band_group.BandGroup,
    other_group: band_group.BandGroup,
    slots: float,
    silent_seconds: float,
) -> BandForecast:
    """Return the forecast of a band of `group`.

    `slots` are those that waiting statements can get, in all bands. A server
    that has been silent for a time is expected to be so for as long again.
    """
    seconds_per_grant = band.rate.seconds_until(position=1)
    if seconds_per_grant:
        return _MeasuredForecast(
            seconds_per_grant=seconds_per_grant, silent_seconds=silent_seconds
        )
    return _WorkForecast(
        service_seconds=band.service_seconds,
        silent_seconds=silent_seconds,
        slots=slots,
        levels=tuple(
            _OtherWork(
                work_seconds=other.work_seconds,
                relative_weight=other.account.weight / band.account.weight,
            )
            for other in group.bands
            if other.waiting and other is not band
        ),
        other_class=_OtherWork(
            work_seconds=other_group.work_seconds,
            relative_weight=other_group.account.weight / group.account.weight,
        ),
    )
