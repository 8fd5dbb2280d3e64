"""How far a replica must be so that what it shows is not too old.

The owner of a service knows the last position that was acknowledged. A host
that reads from replicas asks it now and then; the time before the question
is that of the sample, so that both ends need no common clock.
"""

import asyncio
import collections
import dataclasses
import typing

from egretstep import clock, identifiers

SAMPLE_SECONDS = 0.6
KEPT_SAMPLES = 24
MARGIN_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """Everything acknowledged before `asked_at` is at or before `position`.

    `asked_at` is a time of this host's clock and `epoch` the owner's.
    """

    asked_at: float
    epoch: int
    position: identifiers.LogPosition


Ask = typing.Callable[[], typing.Awaitable[Sample | None]]


class Evidence:
    """Samples of one service's acknowledged position."""

    def __init__(self, *, ask: Ask, time_source: clock.Clock) -> None:
        self._ask = ask
        self._clock = time_source
        self._samples: collections.deque[Sample] = collections.deque(
            maxlen=KEPT_SAMPLES,
        )
        self._asking: asyncio.Task[None] | None = None

    def floor(self, max_staleness: float) -> identifiers.LogPosition | None:
        """Return the position that data of an accepted age must include.

        Returns none when the newest sample is too old to tell.
        """
        oldest = self._clock.now() - max_staleness + MARGIN_SECONDS
        for sample in self._samples:
            if sample.asked_at >= oldest:
                return sample.position
        return None

    async def settled_floor(
        self,
        max_staleness: float,
    ) -> identifiers.LogPosition | None:
        """Return the floor, asking the owner first if needed."""
        floor = self.floor(max_staleness)
        if floor is None:
            await self._refresh()
            return self.floor(max_staleness)
        newest = self._samples[-1].asked_at
        if self._clock.now() - newest > SAMPLE_SECONDS:
            self._start_asking()
        return floor

    def add(self, sample: Sample) -> None:
        """Keep a sample; those of former owners no longer count."""
        if self._samples and self._samples[-1].epoch != sample.epoch:
            self._samples.clear()
        self._samples.append(sample)

    def _start_asking(self) -> asyncio.Task[None]:
        if self._asking is None or self._asking.done():
            self._asking = asyncio.ensure_future(self._sample())
        return self._asking

    async def _refresh(self) -> None:
        await asyncio.shield(self._start_asking())

    async def _sample(self) -> None:
        sample = await self._ask()
        if sample is not None:
            self.add(sample)
