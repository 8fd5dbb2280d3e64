"""The log position that a replica must have applied for a bounded read.

The owner of a service knows the last acknowledged position. A host that
reads from replicas queries the owner from time to time. It dates each sample
by its own clock, before it sends the query, so the clocks of the two hosts
need not agree.
"""

import asyncio
import collections
import dataclasses
import typing

from egretstep import clock, identifiers

SAMPLE_INTERVAL_SECONDS = 0.6
MAX_SAMPLES = 24
SAFETY_MARGIN_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """A position that includes every write acknowledged before `sent_at`.

    `sent_at` is the monotonic time in seconds, on this host, before the
    query was sent. `epoch` is the epoch of the owner's lease.
    """

    sent_at: float
    epoch: int
    position: identifiers.LogPosition


QueryOwner = typing.Callable[[], typing.Awaitable[Sample | None]]


class AcknowledgedPositions:
    """Recent samples of the acknowledged log position of one service.

    `query_owner` queries the owner for a sample and returns None if it fails.
    """

    def __init__(
        self, *, query_owner: QueryOwner, time_source: clock.Clock
    ) -> None:
        self._query_owner = query_owner
        self._clock = time_source
        self._samples: collections.deque[Sample] = collections.deque(
            maxlen=MAX_SAMPLES,
        )
        self._query_task: asyncio.Task[None] | None = None

    def floor(self, max_staleness: float) -> identifiers.LogPosition | None:
        """Return the position that a replica must have applied.

        A replica at this position misses no write that was acknowledged
        more than `max_staleness` seconds ago. Returns None if no sample is
        recent enough to tell.
        """
        oldest = self._clock.now() - max_staleness + SAFETY_MARGIN_SECONDS
        for sample in self._samples:
            if sample.sent_at >= oldest:
                return sample.position
        return None

    async def fetch_floor(
        self,
        max_staleness: float,
    ) -> identifiers.LogPosition | None:
        """Return the floor, and query the owner if needed.

        Waits for the owner's answer only if no sample is recent enough; a
        newest sample that is merely due for renewal is renewed in the
        background. Returns None if the owner does not answer.
        """
        floor = self.floor(max_staleness)
        if floor is None:
            await self._wait_for_query()
            return self.floor(max_staleness)
        newest = self._samples[-1].sent_at
        if self._clock.now() - newest > SAMPLE_INTERVAL_SECONDS:
            self._start_query()
        return floor

    def add(self, sample: Sample) -> None:
        """Add a sample and drop the samples of any other epoch."""
        if self._samples and self._samples[-1].epoch != sample.epoch:
            self._samples.clear()
        self._samples.append(sample)

    def _start_query(self) -> asyncio.Task[None]:
        if self._query_task is None or self._query_task.done():
            self._query_task = asyncio.ensure_future(self._query_and_add())
        return self._query_task

    async def _wait_for_query(self) -> None:
        await asyncio.shield(self._start_query())

    async def _query_and_add(self) -> None:
        sample = await self._query_owner()
        if sample is not None:
            self.add(sample)
