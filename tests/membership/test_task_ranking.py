import collections
import typing
import unittest
import unittest.mock

from egretstep import identifiers
from egretstep.membership import claims, directory, task_ranking

ZONES = ('a', 'a', 'a', 'b', 'b')
HOSTS = [
    unittest.mock.MagicMock(
        host=identifiers.HostName(f'host-{number}'),
        zone=identifiers.ZoneName(zone),
        processor=1.0,
    )
    for number, zone in enumerate(ZONES)
]
TASKS = [
    task_ranking.Task(
        name=claims.TaskName(f'service-{number}'),
        zone=identifiers.ZoneName('a'),
    )
    for number in range(3)
]


class Hosts:
    """Stands in for the directory; the lost hosts are not usable."""

    def __init__(self, *lost: str) -> None:
        self._lost = lost

    def is_usable(self, name: str) -> bool:
        return name not in self._lost

    def usable(self) -> list[typing.Any]:
        return [host for host in HOSTS if self.is_usable(host.host)]


def make_claims(*hosts: str) -> dict[claims.TaskName, claims.Claim]:
    return {
        task.name: claims.Claim(
            task=task.name,
            host=identifiers.HostName(host),
            boot=1,
            epoch=1,
        )
        for task, host in zip(TASKS, hosts, strict=False)
    }


class TaskRankingTest(unittest.TestCase):
    def _first(
        self,
        known: dict[claims.TaskName, claims.Claim],
        *lost: str,
    ) -> list[str]:
        found = task_ranking.rank_hosts(
            tasks=TASKS,
            known=known,
            hosts=typing.cast(directory.Directory, Hosts(*lost)),
            limit=1,
        )
        return [found[task.name][0].host for task in TASKS]

    def test_new_tasks_are_spread_over_the_hosts_of_the_zone(self) -> None:
        first = self._first({})
        self.assertEqual(set(first), {'host-0', 'host-1', 'host-2'})

    def test_tasks_of_a_lost_host_go_to_several_hosts(self) -> None:
        known = make_claims('host-0', 'host-0', 'host-1')
        first = self._first(known, 'host-0')
        counted = collections.Counter((*first[:2], 'host-1'))
        self.assertEqual(max(counted.values()), 2)
        self.assertNotIn('host-0', first)
        self.assertEqual(first[0], 'host-2')

    def test_hosts_of_the_zone_come_before_an_even_spread(self) -> None:
        first = self._first({}, 'host-0', 'host-1')
        self.assertEqual(set(first), {'host-2'})
