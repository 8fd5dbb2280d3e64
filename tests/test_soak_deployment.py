"""The soak's deployment while faults on the same host overlap."""

import asyncio
import signal
import unittest
from unittest import mock

from soak import deployment

INDEX = 0
FIRST_PORT = 26_000


class OverlappingFaultsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_host_is_started_once(self) -> None:
        """A second process of a host outlived its seed and held its ports."""
        fleet = deployment.SoakFleet(first_port=FIRST_PORT)
        with (
            mock.patch.object(fleet, 'stop_host', side_effect=_take_a_moment),
            mock.patch.object(
                fleet, 'start_host', side_effect=_take_a_moment
            ) as start,
        ):
            await fleet.take_down(INDEX, signal.SIGKILL)
            await asyncio.gather(fleet.bring_up(INDEX), fleet.bring_up(INDEX))
        self.assertEqual(start.call_count, 1)


async def _take_a_moment(*_call: object) -> None:
    await asyncio.sleep(0.01)
