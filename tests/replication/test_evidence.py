import unittest

from egretstep import clock, identifiers
from egretstep.replication import evidence

STALENESS = 1.5


def _position(offset: int) -> identifiers.LogPosition:
    return identifiers.LogPosition(term=1, offset=offset)


class AcknowledgedPositionsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=100)
        self.owner_sample: evidence.Sample | None = None
        self.positions = evidence.AcknowledgedPositions(
            query_owner=self._query_owner,
            time_source=self.clock,
        )

    async def test_the_floor_is_the_oldest_sample_that_is_recent_enough(
        self,
    ) -> None:
        for offset in range(10):
            self._add(offset)
            self.clock.advance(0.5)
        # The time is 105, so the limit is 103.55 with the safety margin.
        self.assertEqual(self.positions.floor(STALENESS), _position(8))
        self.assertEqual(self.positions.floor(STALENESS * 2), _position(5))

    async def test_without_recent_samples_there_is_no_floor(self) -> None:
        self._add(1)
        self.clock.advance(STALENESS)
        self.assertIsNone(self.positions.floor(STALENESS))
        self.assertIsNone(await self.positions.fetch_floor(STALENESS))

    async def test_the_owner_is_queried_without_a_recent_sample(self) -> None:
        self.owner_sample = self._sample(3)
        self.assertEqual(
            await self.positions.fetch_floor(STALENESS),
            _position(3),
        )

    async def test_samples_of_a_former_owner_are_dropped(self) -> None:
        self._add(9)
        self.positions.add(self._sample(4, epoch=2))
        self.assertEqual(self.positions.floor(STALENESS), _position(4))

    def _add(self, offset: int) -> None:
        self.positions.add(self._sample(offset))

    def _sample(self, offset: int, *, epoch: int = 1) -> evidence.Sample:
        return evidence.Sample(
            sent_at=self.clock.now(),
            epoch=epoch,
            position=_position(offset),
        )

    async def _query_owner(self) -> evidence.Sample | None:
        return self.owner_sample
