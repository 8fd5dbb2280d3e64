"""Calls to the voters, some of which do not answer."""

import asyncio
import typing
import unittest
import unittest.mock

from egretstep import clock, errors, identifiers
from egretstep.membership import (
    claims,
    directory,
    fleet_links,
    quorum_calls,
    voters,
)
from egretstep.storage import tables
from tests import platform_fakes

HOSTS = [identifiers.HostName(f'host-{number}') for number in range(5)]
CLAIM = claims.Claim(
    task=claims.TaskName('service-ledger'),
    host=HOSTS[0],
    boot=1,
    epoch=2,
)
SILENT_CALL_SECONDS = 0.4
OWN_EPOCH = 2


def _voter_row(voter_set: voters.VoterSet) -> dict[str, tables.Row]:
    return {
        voters.KEY: tables.Row(
            key=voters.KEY,
            content=voters.encode(voter_set),
            version=platform_fakes.version(1),
        ),
    }


def make_calls(
    silent: typing.Collection[str] = (),
    *,
    groups: tuple[typing.Collection[str], ...] = (HOSTS,),
    later: typing.Collection[str] = (),
    store_silence: float = 0,
) -> quorum_calls.QuorumCalls:
    """Return the calls of the first host; `later` know a later voter set."""
    hosts = directory.Directory(
        own=platform_fakes.host(HOSTS[0]),
        time_source=clock.MonotonicClock(),
    )
    known = voters.KnownVoters(
        store_silence=lambda: store_silence,
        time_source=clock.MonotonicClock(),
    )
    known.update(
        _voter_row(
            voters.VoterSet(
                epoch=OWN_EPOCH,
                groups=tuple(
                    frozenset(map(identifiers.HostName, group))
                    for group in groups
                ),
            )
        )
    )
    links = fleet_links.FleetLinks(
        hosts=hosts, time_source=clock.MonotonicClock()
    )

    async def call(
        host: str, called: typing.Any, **_options: typing.Any
    ) -> typing.Any:
        if host in silent:
            await asyncio.sleep(SILENT_CALL_SECONDS)
            raise errors.LinkLostError('silent')
        epoch = OWN_EPOCH + 1 if host in later else OWN_EPOCH
        remote = unittest.mock.Mock()
        remote.reaches.return_value = unittest.mock.Mock(reached=False)
        remote.confirm.side_effect = lambda claims, voterEpoch: (
            unittest.mock.Mock(
                confirmed=epoch <= voterEpoch, newer=[], voterEpoch=epoch
            )
        )
        return called(remote)

    links.call = call  # type: ignore[method-assign]
    return quorum_calls.QuorumCalls(
        hosts=hosts,
        links=links,
        known_voters=known,
    )


class ConfirmTest(unittest.IsolatedAsyncioTestCase):
    async def _time_confirm(
        self, silent: typing.Collection[str]
    ) -> tuple[claims.Confirmation, float]:
        loop = asyncio.get_running_loop()
        started = loop.time()
        confirmation = await make_calls(silent).confirm([CLAIM])
        return confirmation, loop.time() - started

    async def test_a_lost_host_does_not_delay_a_majority(self) -> None:
        confirmation, seconds = await self._time_confirm(HOSTS[4:])
        self.assertEqual(len(confirmation.newer), 3)
        self.assertTrue(confirmation.has_quorum)
        self.assertLess(seconds, SILENT_CALL_SECONDS / 2)

    async def test_all_replies_are_returned(self) -> None:
        confirmation, _seconds = await self._time_confirm([])
        self.assertEqual(len(confirmation.newer), 4)

    async def test_without_a_majority_waits_for_all_hosts(self) -> None:
        confirmation, seconds = await self._time_confirm(HOSTS[2:])
        self.assertEqual(len(confirmation.newer), 1)
        self.assertFalse(confirmation.has_quorum)
        self.assertGreaterEqual(seconds, SILENT_CALL_SECONDS * 0.9)

    async def test_only_a_majority_can_declare_a_host_lost(self) -> None:
        calls = make_calls(HOSTS[4:])
        self.assertTrue(await calls.is_lost(HOSTS[1]))
        self.assertFalse(await make_calls(HOSTS[2:]).is_lost(HOSTS[1]))

    async def test_a_change_needs_a_majority_of_both_groups(self) -> None:
        """Otherwise the former and the next voters could both confirm."""
        groups = (HOSTS[:3], HOSTS[2:])
        confirmed = await make_calls(HOSTS[3:], groups=groups).confirm([CLAIM])
        self.assertFalse(confirmed.has_quorum)
        confirmed = await make_calls(HOSTS[4:], groups=groups).confirm([CLAIM])
        self.assertTrue(confirmed.has_quorum)

    async def test_only_all_voters_are_a_quorum_long_after_the_last_news(
        self,
    ) -> None:
        """A voter that sees the store may have forced another set."""
        silence = voters.MAX_STORE_SILENCE_SECONDS + 1
        calls = make_calls(HOSTS[4:], store_silence=silence)
        self.assertFalse((await calls.confirm([CLAIM])).has_quorum)
        calls = make_calls(store_silence=silence)
        self.assertTrue((await calls.confirm([CLAIM])).has_quorum)

    async def test_voters_that_know_a_later_set_do_not_confirm(self) -> None:
        """Guards against two majorities of sets that share no host."""
        confirmed = await make_calls(later=HOSTS[2:]).confirm([CLAIM])
        self.assertFalse(confirmed.has_quorum)

    async def test_a_host_that_does_not_vote_needs_a_majority_of_others(
        self,
    ) -> None:
        calls = make_calls(HOSTS[2:3], groups=(HOSTS[1:3],))
        confirmed = await calls.confirm([CLAIM])
        self.assertFalse(confirmed.has_quorum)
