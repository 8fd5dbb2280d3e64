import typing
import unittest
import unittest.mock

from egretstep import clock, identifiers
from egretstep.membership import (
    candidacies,
    claims,
    directory,
    leases,
    rendezvous,
    task_ranking,
)
from egretstep.settings import node
from egretstep.storage import tables
from tests import platform_fakes

HOSTS = 195
SERVICES = 10
ZONES = ('a', 'b', 'c', 'd', 'e')
LOOKS = 100


def make_host(number: int, processor: float = 0.5) -> directory.Host:
    return directory.Host(
        host=identifiers.HostName(f'host-{number}'),
        zone=identifiers.ZoneName(ZONES[number % len(ZONES)]),
        address=node.Address(host='10.1.0.1', port=7000 + number),
        boot=1,
        processor=processor,
    )


TASKS = tuple(
    task_ranking.Task(
        name=claims.TaskName(f'service-{number}'),
        zone=identifiers.ZoneName(ZONES[number % len(ZONES)]),
    )
    for number in range(SERVICES)
)


def make_row(host: directory.Host, version: int = 1) -> tables.Row:
    key = directory.PREFIX + host.host
    return tables.Row(
        key=key,
        content=directory.encode(host),
        version=platform_fakes.version(version),
    )


class CandidaciesTest(unittest.TestCase):
    """Ranking runs only after a change of the hosts, claims or tasks.

    Hundreds of hosts ask for their candidacies several times a second, mostly
    without a change. A ranking costs time proportional to hosts times tasks.
    """

    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.hosts = directory.Directory(
            own=make_host(0),
            time_source=self.clock,
        )
        rows = [make_row(make_host(each)) for each in range(HOSTS)]
        self.rows = {row.key: row for row in rows}
        self.hosts.update(self.rows)
        self.keeper = leases.LeaseKeeper(
            store=platform_fakes.FakeTables(),
            hosts=self.hosts,
            confirmers=unittest.mock.MagicMock(),
            time_source=self.clock,
        )
        self.candidacies = candidacies.Candidacies(
            keeper=self.keeper,
            hosts=self.hosts,
            wanted=lambda: TASKS,
        )

    def _ranks(self) -> dict[str, int | None]:
        return {
            each.task.name: each.rank for each in self.candidacies.current()
        }

    def test_no_ranking_without_a_change(self) -> None:
        self.candidacies.current()
        with unittest.mock.patch.object(
            rendezvous, 'score', wraps=rendezvous.score
        ) as score:
            for _ in range(LOOKS):
                self.candidacies.current()
        self.assertEqual(score.call_count, 0)

    def test_a_host_is_a_candidate_for_few_of_many_tasks(self) -> None:
        self.assertLess(len(self.candidacies.current()), len(TASKS))

    def test_suspecting_a_host_of_another_zone_changes_no_rank(self) -> None:
        before = self._ranks()
        self.hosts.suspect(identifiers.HostName('host-1'), 'no answer')
        self.assertEqual(self._ranks(), before)

    def test_the_last_usable_host_of_a_zone_ranks_first(
        self,
    ) -> None:
        for number in range(len(ZONES), HOSTS, len(ZONES)):
            self.hosts.suspect(make_host(number).host, 'no answer')
        self.assertEqual(self._ranks()['service-0'], 0)
        self.assertEqual(self._ranks()['service-5'], 0)

    def test_the_end_of_a_suspicion_restores_the_ranks(self) -> None:
        before = self._ranks()
        for number in range(len(ZONES), HOSTS, len(ZONES)):
            self.hosts.suspect(make_host(number).host, 'no answer')
        self.assertNotEqual(self._ranks(), before)
        self.clock.advance(directory.SUSPECT_SECONDS)
        self.assertEqual(self._ranks(), before)

    def test_a_task_that_this_host_holds_is_included(self) -> None:
        self.keeper.merge(
            claims.Claim(
                task=TASKS[3].name,
                host=self.hosts.own.host,
                boot=1,
                epoch=1,
            ),
        )
        self.assertIn(TASKS[3].name, self._ranks())

    def test_a_host_with_more_cores_ranks_first(self) -> None:
        large = make_host(5, processor=2)
        self.rows[f'host/{large.host}'] = make_row(large, version=2)
        self.hosts.update(self.rows)
        ranking = task_ranking.rank_hosts(
            tasks=TASKS,
            known={},
            hosts=self.hosts,
            limit=1,
        )
        first = [ranking[task.name][0].host for task in (TASKS[0], TASKS[5])]
        self.assertEqual(first, [large.host, large.host])

    def test_a_row_is_decoded_once_per_version(self) -> None:
        with unittest.mock.patch.object(
            directory, 'decode', wraps=directory.decode
        ) as decode:
            self.rows['host/host-7'] = make_row(make_host(7, 1.0), version=2)
            self.hosts.update(self.rows)
        self.assertEqual(decode.call_count, 1)
        changed = self.hosts.hosts[identifiers.HostName('host-7')]
        self.assertEqual(typing.cast(directory.Host, changed).processor, 1.0)
