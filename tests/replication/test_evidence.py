import unittest

from egretstep import clock, identifiers
from egretstep.replication import evidence

STALENESS = 1.5


def _position(offset: int) -> identifiers.LogPosition:
    return identifiers.LogPosition(term=1, offset=offset)


class EvidenceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(start=100)
        self.answer: evidence.Sample | None = None
        self.evidence = evidence.Evidence(
            ask=self._ask,
            time_source=self.clock,
        )

    async def test_the_oldest_sample_that_is_young_enough_is_the_floor(
        self,
    ) -> None:
        for offset in range(10):
            self._add(offset)
            self.clock.advance(0.5)
        # Asked at 103.5 and later; now is 105.
        self.assertEqual(self.evidence.floor(STALENESS), _position(8))
        self.assertEqual(self.evidence.floor(STALENESS * 2), _position(5))

    async def test_without_young_samples_nothing_is_known(self) -> None:
        self._add(1)
        self.clock.advance(STALENESS)
        self.assertIsNone(self.evidence.floor(STALENESS))
        self.assertIsNone(await self.evidence.settled_floor(STALENESS))

    async def test_the_owner_is_asked_when_needed(self) -> None:
        self.answer = self._sample(3)
        self.assertEqual(
            await self.evidence.settled_floor(STALENESS),
            _position(3),
        )

    async def test_samples_of_a_former_owner_do_not_count(self) -> None:
        self._add(9)
        self.evidence.add(self._sample(4, epoch=2))
        self.assertEqual(self.evidence.floor(STALENESS), _position(4))

    def _add(self, offset: int) -> None:
        self.evidence.add(self._sample(offset))

    def _sample(self, offset: int, *, epoch: int = 1) -> evidence.Sample:
        return evidence.Sample(
            asked_at=self.clock.now(),
            epoch=epoch,
            position=_position(offset),
        )

    async def _ask(self) -> evidence.Sample | None:
        return self.answer
