"""Guards against promotions that leave acknowledged commits behind (review/6).

A replica without an entry in the store still counts for the acknowledgement
of commits, but one that has left must not stop each later promotion.
"""

import dataclasses

from egretstep import clock, identifiers
from egretstep.backends import answers, connection
from egretstep.replication import (
    candidates,
    log_holders,
    primary_record,
    server_probe,
)
from egretstep.settings import deployment
from tests import platform_fakes, virtual_time
from tests.replication import registered_servers

ACKNOWLEDGED = identifiers.LogPosition(1, 9)
FIRST = connection.ServerId('first')
LAPSED = connection.ServerId('lapsed')


def _deployment(sync_replicas: int) -> deployment.Deployment:
    service = deployment.Service(
        name=platform_fakes.SERVICE,
        connection_limit=8,
        sync_replicas=sync_replicas,
    )
    return dataclasses.replace(
        deployment.EMPTY, services={platform_fakes.SERVICE: service}
    )


class LogHoldersTest(virtual_time.VirtualTimeTestCase):
    def setUp(self) -> None:
        self.first = platform_fakes.FakeServer(
            name='first', role=connection.Role.PRIMARY
        )
        self.other = platform_fakes.FakeServer(
            name='other', position=ACKNOWLEDGED
        )
        self.lapsed = platform_fakes.FakeServer(name='lapsed')
        opener = platform_fakes.FakeOpener(self.first, self.other, self.lapsed)
        self.servers = registered_servers.RegisteredServers(
            self.first, self.other, self.lapsed
        )
        self.clock = clock.ManualClock(start=100)
        self.current = _deployment(sync_replicas=1)
        self.holders = log_holders.LogHolders(
            servers=self.servers,
            probe=server_probe.ServerProbe(opener=opener),
            current_deployment=lambda: self.current,
            time_source=self.clock,
        )
        self.record = self._add(primary_record.PrimaryRecord(server=FIRST))
        self.servers.remove('lapsed')

    def _add(
        self, record: primary_record.PrimaryRecord
    ) -> primary_record.PrimaryRecord:
        return self.holders.add_registered(platform_fakes.SERVICE, record)

    async def _remaining(self) -> set[str]:
        record = await self.holders.drop_gone(
            platform_fakes.SERVICE, self.record, lambda: ACKNOWLEDGED
        )
        return {each.server for each in record.log_holders}

    async def test_a_lapsed_server_that_answers_stays_a_holder(self) -> None:
        self.assertEqual(self._add(self.record), self.record)
        self.servers.left = {'lapsed'}
        self.assertIn(LAPSED, await self._remaining())

    async def test_a_server_that_left_on_plan_is_dropped(self) -> None:
        self.servers.left = {'lapsed'}
        self.lapsed.is_down = True
        self.assertEqual(await self._remaining(), {'first', 'other'})

    async def test_it_stays_until_another_has_what_was_acknowledged(
        self,
    ) -> None:
        self.servers.left = {'lapsed'}
        self.lapsed.is_down = True
        self.other.position = identifiers.LogPosition(1, 8)
        self.assertIn(LAPSED, await self._remaining())

    async def test_a_silent_server_is_dropped_after_a_while(self) -> None:
        self.lapsed.is_down = True
        self.assertIn(LAPSED, await self._remaining())
        self.clock.advance(log_holders.MAX_SILENCE_SECONDS)
        self.assertNotIn(LAPSED, await self._remaining())

    async def test_a_silence_ends_when_the_server_is_registered_again(
        self,
    ) -> None:
        """The time of a former silence counted for the next one."""
        self.lapsed.is_down = True
        await self._remaining()
        self.servers.add(self.lapsed)
        await self._remaining()
        self.clock.advance(log_holders.MAX_SILENCE_SECONDS)
        self.servers.remove('lapsed')
        self.assertIn(LAPSED, await self._remaining())

    async def test_a_server_whose_address_another_one_has_is_dropped(
        self,
    ) -> None:
        self.lapsed.refuses_with = answers.Code.WRONG_SERVER
        self.assertNotIn(LAPSED, await self._remaining())

    async def test_a_server_that_starts_again_has_lost_its_log(self) -> None:
        """Its new process answers, but without the commits of the former."""
        self.other.started_ms = 7
        record = self._add(self.record)
        former = ('other', 0)
        self.assertIn(former, [each.process for each in record.log_holders])
        self.other.position = identifiers.LogPosition(1, 0)
        remaining = await self.holders.drop_gone(
            platform_fakes.SERVICE, record, lambda: ACKNOWLEDGED
        )
        self.assertEqual(remaining, record)
        self.other.position = ACKNOWLEDGED
        remaining = await self.holders.drop_gone(
            platform_fakes.SERVICE, record, lambda: ACKNOWLEDGED
        )
        processes = [each.process for each in remaining.log_holders]
        self.assertNotIn(former, processes)
        self.assertIn(('other', 7), processes)

    def test_a_service_without_synchronous_replicas_records_none(self) -> None:
        self.current = _deployment(sync_replicas=0)
        self.assertEqual(self._add(self.record).log_holders, ())

    def test_the_next_owner_reads_the_holders(self) -> None:
        decoded = primary_record.decode(self.record.encode())
        self.assertEqual(decoded, self.record)


def _candidate(name: str, offset: int) -> candidates.Candidate:
    server = platform_fakes.FakeServer(
        name=name, position=identifiers.LogPosition(1, offset)
    )
    return candidates.Candidate(
        server=server.backend(),
        status=connection.ServerStatus(
            role=server.role,
            term=identifiers.Term(1),
            received=server.position,
        ),
    )


class UnregisteredCandidateTest(virtual_time.VirtualTimeTestCase):
    def _choose(self, registered: int, unregistered: int) -> str:
        chosen = candidates.choose(
            candidates.Evidence(
                found=[_candidate('registered', registered)],
                unregistered=[_candidate('lapsed', unregistered)],
                unknown_count=1,
                acknowledged=ACKNOWLEDGED,
                sync_replicas=1,
            ),
            takes_work=lambda _server: True,
        )
        return chosen.server.server if chosen else ''

    def test_a_registered_server_leads_if_it_has_all_commits(self) -> None:
        self.assertEqual(self._choose(8, 8), 'registered')

    def test_the_lapsed_server_leads_if_only_it_has_them(self) -> None:
        self.assertEqual(self._choose(7, 9), 'lapsed')
