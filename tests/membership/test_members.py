import unittest

from egretstep import clock, identifiers
from egretstep.membership import members, ownership, ranking
from egretstep.settings import schema

FLEET = schema.FleetSettings(
    zones={'z': {}, 'out': {'state': 'out'}},
    databases={
        'd': {
            'servers': {'s': {'zone': 'z', 'address': '127.0.0.1', 'port': 1}}
        },
    },
)


def member(name: str, **changes: object) -> members.Member:
    fields: dict = {
        'host': identifiers.HostName(name),
        'zone': identifiers.ZoneName('z'),
        'address': '127.0.0.1',
        'agent_port': 1,
        'pool_port': 2,
        'pool': members.PoolState.UP,
    }
    return members.Member(**(fields | changes))


class MemberTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.table = members.MemberTable(
            own=member('own'),
            time_source=self.clock,
        )

    def test_a_later_or_more_severe_report_wins(self) -> None:
        dead = member('a', state=members.MemberState.DEAD)
        self.assertTrue(self.table.merge(member('a')))
        self.assertTrue(self.table.merge(dead))
        self.assertFalse(self.table.merge(member('a')))
        self.assertTrue(self.table.merge(member('a', incarnation=1)))

    def test_a_host_refutes_a_wrong_report_about_itself(self) -> None:
        self.table.merge(
            member('own', incarnation=3, state=members.MemberState.DEAD),
        )
        self.assertEqual(self.table.own.incarnation, 4)
        self.assertIs(self.table.own.state, members.MemberState.ALIVE)

    def test_the_platform_list_does_not_replace_a_dead_report(self) -> None:
        self.table.merge(member('a', state=members.MemberState.DEAD))
        self.assertFalse(self.table.add_listed_host(member('a')))

    def test_dead_hosts_are_removed_after_a_while(self) -> None:
        self.table.merge(member('a', state=members.MemberState.DEAD))
        self.clock.advance(members.DEAD_RETENTION_SECONDS + 1)
        self.table.forget_dead()
        self.assertIsNone(self.table.get(identifiers.HostName('a')))


class OwnershipTest(unittest.TestCase):
    def _owners(self, hosts: list[members.Member]) -> dict[str, str]:
        table = ownership.OwnershipTable()
        table.update(hosts=hosts, fleet=FLEET)
        return _owners_by_database(table)

    def test_updates_give_the_same_owners_as_a_new_table(self) -> None:
        hosts = [member(f'h{number}') for number in range(12)]
        table = ownership.OwnershipTable()
        for present in (hosts[:5], hosts, hosts[3:], hosts[1:7], hosts[:2]):
            table.update(hosts=present, fleet=FLEET)
            self.assertEqual(_owners_by_database(table), self._owners(present))

    def test_only_databases_of_a_lost_host_move(self) -> None:
        hosts = [member(f'h{number}') for number in range(9)]
        before = self._owners(hosts)
        after = self._owners(hosts[1:])
        moved = {name for name in before if before[name] != after[name]}
        self.assertEqual(
            moved,
            {name for name, host in before.items() if host == 'h0'},
        )

    def test_leaving_hosts_and_zones_that_are_out_own_nothing(self) -> None:
        hosts = [
            member('stays'),
            member('leaves', state=members.MemberState.LEAVING),
            member('no-pool', pool=members.PoolState.DOWN),
            member('out', zone=identifiers.ZoneName('out')),
        ]
        self.assertEqual(set(self._owners(hosts).values()), {'stays'})

    def test_probe_targets_grow_with_the_logarithm_of_the_fleet(self) -> None:
        hosts = [member(f'h{number}') for number in range(1400)]
        targets = ranking.probe_targets(own=hosts[0].host, hosts=hosts)
        self.assertEqual(len(targets), 11)


def _owners_by_database(table: ownership.OwnershipTable) -> dict[str, str]:
    found = {}
    for number in range(60):
        name = identifiers.DatabaseName(f'db{number}')
        owner = table.owner(name)
        found[name] = owner.host if owner else ''
    return found
