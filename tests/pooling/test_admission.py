"""Guards against overload that hits the most valuable statements hardest.

Load pattern: three kinds of statements at one server, 1.5 to 2 times what it
can serve, also with open transactions, a hot workspace, fewer slots for some
seconds, and a server that is silent for a while.
"""

import unittest

from egretstep.pooling import queueing
from tests.pooling import load_replay

SECONDS = 12.0
LATE_SHARE = 0.1
FEWER_SLOTS = (4.0, 9.0)
# Shares of the server by the weights of the levels in use, 64, 16 and 4.
LEVEL_SHARES = (64 / 84, 16 / 84, 4 / 84)


def _sustained(load: float, **options) -> load_replay.Replay:
    return load_replay.Replay(**options).run(lambda _: load, SECONDS)


def _slots_at(now: float) -> int:
    return 2 if FEWER_SLOTS[0] < now < FEWER_SLOTS[1] else load_replay.SLOTS


def _in_time(replay: load_replay.Replay, kind: load_replay.Kind) -> float:
    return replay.by_kind[kind.name].in_time_share


class SustainedOverloadTest(unittest.TestCase):
    def test_valuable_statements_are_served_in_time(self) -> None:
        for load in (1.5, 2.0):
            with self.subTest(load):
                replay = _sustained(load)
                self.assertGreater(_in_time(replay, load_replay.WRITES), 0.97)

    def test_every_level_keeps_its_share(self) -> None:
        replay = _sustained(2.0)
        for kind in load_replay.KINDS[1:]:
            served = replay.by_kind[kind.name].in_time * kind.service
            share = served / SECONDS / load_replay.SLOTS
            with self.subTest(kind.name):
                self.assertGreater(share, 0.85 * LEVEL_SHARES[kind.priority])

    def test_worth_is_above_that_of_the_other_policies(self) -> None:
        for load in (1.5, 2.0):
            first_come = _sustained(
                load, policy=queueing.QueuePolicy.FIRST_COME
            )
            plain = _sustained(load, is_plain=True)
            with self.subTest(load):
                self.assertGreater(
                    _sustained(load).worth,
                    3 * max(first_come.worth, plain.worth),
                )

    def test_rejections_come_early(self) -> None:
        counts = _sustained(2.0).by_kind.values()
        rejected = sum(count.rejected for count in counts)
        late = sum(count.rejected_late for count in counts)
        self.assertLessEqual(late, LATE_SHARE * rejected)

    def test_nothing_is_lost_below_the_capacity(self) -> None:
        replay = _sustained(0.8)
        for kind in load_replay.KINDS:
            self.assertGreater(_in_time(replay, kind), 0.97)


class TransactionLoadTest(unittest.TestCase):
    def test_half_of_the_capacity_runs_without_waiting(self) -> None:
        replay = _sustained(0.7, pinned_load=0.5)
        self.assertGreater(_in_time(replay, load_replay.WRITES), 0.93)
        self.assertGreater(_in_time(replay, load_replay.SESSION_READS), 0.6)
        self.assertGreater(_in_time(replay, load_replay.BOUNDED_READS), 0.1)

    def test_waiting_statements_keep_a_slot(self) -> None:
        """Transactions alone would use the whole server."""
        replay = _sustained(0.5, pinned_load=1.0)
        for kind in load_replay.KINDS:
            self.assertGreater(replay.by_kind[kind.name].served, 0)


class StarvationTest(unittest.TestCase):
    """One workspace sends more than 13 times as much as each of 20 others.

    The levels share first, so its session reads go before the bounded reads
    of the others; within each level it must not take from them.
    """

    @classmethod
    def setUpClass(cls) -> None:
        counts = dict(_sustained(1.2, hot_share=0.4).by_workspace)
        cls.hot = {
            kind: counts.pop((load_replay.HOT, kind.name))
            for kind in load_replay.KINDS
        }
        cls.others = counts

    def _others(self, kind: load_replay.Kind) -> list[load_replay.Count]:
        return [
            count
            for (_, name), count in self.others.items()
            if name == kind.name
        ]

    def test_others_keep_their_valuable_statements(self) -> None:
        for kind in (load_replay.WRITES, load_replay.SESSION_READS):
            for count in self._others(kind):
                self.assertGreater(count.in_time_share, 0.95)

    def test_others_keep_their_share_of_the_lowest_level(self) -> None:
        kind = load_replay.BOUNDED_READS
        worst = min(each.in_time_share for each in self._others(kind))
        self.assertGreater(worst, 3 * self.hot[kind].in_time_share)

    def test_the_hot_workspace_is_served_too(self) -> None:
        for kind, count in self.hot.items():
            with self.subTest(kind.name):
                self.assertGreater(count.served, 0)


class CapacityTest(unittest.TestCase):
    def test_fewer_slots_for_some_seconds(self) -> None:
        replay = load_replay.Replay().run(lambda _: 0.7, 14, _slots_at)
        self.assertGreater(_in_time(replay, load_replay.WRITES), 0.95)
        for now, load in replay.samples:
            if FEWER_SLOTS[0] + 0.5 < now < FEWER_SLOTS[1]:
                self.assertLessEqual(load.running, 2)
            if now > 10:
                self.assertTrue(load_replay.is_calm(load), f'at {now:.2f} s')

    def test_a_silent_server_returns(self) -> None:
        """Forecasts from before or within an outage must not outlast it."""
        replay = load_replay.Replay(outage=(4, 6)).run(lambda _: 0.7, 10)
        for now, load in replay.samples:
            if now > 7:
                self.assertTrue(load_replay.is_calm(load), f'at {now:.2f} s')
        for kind in load_replay.KINDS:
            # 2 s of 10 s are lost, and what waited then.
            self.assertGreater(_in_time(replay, kind), 0.7)

    def test_a_silent_server_rejects_early(self) -> None:
        """The rate from before the silence says nothing about the wait."""
        replay = load_replay.Replay(outage=(4, 7)).run(lambda _: 0.7, 9)
        for kind in load_replay.KINDS:
            count = replay.by_kind[kind.name]
            self.assertGreater(count.rejected, 10)
            self.assertLessEqual(
                count.rejected_late, LATE_SHARE * count.rejected
            )
