"""Guards against a stand-in whose replicas miss writes for good."""

import asyncio
import unittest

from standins import platform_servers


async def _serve(
    _server: platform_servers.Server,
    _reader: asyncio.StreamReader,
    _writer: asyncio.StreamWriter,
) -> None:
    raise NotImplementedError('no session is opened here')


class ReplicationTest(unittest.IsolatedAsyncioTestCase):
    async def test_replica_that_was_down_receives_what_it_missed(self) -> None:
        """A crash of the other replica then lost acknowledged writes."""
        group = platform_servers.Group(
            service='ledger',
            zones=('north', 'middle', 'south'),
            serve=_serve,
        )
        replica = group.servers['ledger-1']
        group.commit(group.primary, [('a', '1')])
        replica.faults.is_down = True
        group.commit(group.primary, [('a', '2')])
        self.assertEqual(len(replica.log), 1)
        replica.faults.is_down = False
        last = group.commit(group.primary, [('a', '3')])
        self.assertEqual(replica.log, group.primary.log)
        self.assertEqual(replica.last_position, last)
