"""Processes of hosts that are lost for good, and new ones in their places."""

import asyncio
import signal
import time
import unittest

from standins import platform_caller, platform_fleet

# The users' bound for the return of service after a fault.
RECOVERY_SECONDS = 12.0
REPLACED_AFTER_SECONDS = 1.0
SETTLED_SECONDS = 8.0
RETRY_INTERVAL_SECONDS = 0.2


async def _wait_for_write(
    fleet: platform_fleet.PlatformFleet, index: int
) -> float:
    """Return after how many seconds a host acknowledges a write."""
    started = time.monotonic()
    while time.monotonic() - started < RECOVERY_SECONDS:
        try:
            caller = await platform_caller.Caller.connect(fleet.port(index))
            await caller.run('WRITE frame 1')
        except (OSError, platform_caller.AnswerError):
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            continue
        caller.close()
        return time.monotonic() - started
    raise AssertionError(f'host {index}: no write in {RECOVERY_SECONDS} s')


class ReplacedHostsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_fleet_whose_hosts_were_all_replaced_serves(self) -> None:
        """Lost hosts counted for every majority for ever (review/8)."""
        async with platform_fleet.PlatformFleet(first_port=24300) as fleet:
            last = fleet.owner()
            others = [index for index in range(3) if index != last]
            for lost, new in zip((*others, last), (3, 4, 5), strict=True):
                await fleet.stop_host(lost, signal.SIGKILL)
                await asyncio.sleep(REPLACED_AFTER_SECONDS)
                await fleet.start_host(new)
                if lost != last:
                    await asyncio.sleep(SETTLED_SECONDS)
            await _wait_for_write(fleet, 5)

    async def test_one_of_two_hosts_goes_on_without_the_owner(self) -> None:
        """The owner, lost for good, counted for the majority (review/8)."""
        async with platform_fleet.PlatformFleet(
            first_port=24350, hosts=2
        ) as fleet:
            await asyncio.sleep(SETTLED_SECONDS / 2)
            owner = fleet.owner()
            await fleet.stop_host(owner, signal.SIGKILL)
            await _wait_for_write(fleet, 1 - owner)
