"""Processes of hosts that report usage to a stand-in of the platform."""

import asyncio
import collections
import signal
import unittest

import orjson

from standins import platform_caller, platform_fleet

FIRST_PORT = 26400
WINDOW_SECONDS = 2
WRITE_COUNT = 20


class WholeFleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_reports_go_on_after_holders_are_killed_and_stopped(
        self,
    ) -> None:
        """The contents, epochs and windows keep to the platform's contract."""
        async with platform_fleet.PlatformFleet(
            first_port=FIRST_PORT, report_window=WINDOW_SECONDS
        ) as fleet:
            await self._write(fleet, count=WRITE_COUNT)
            await self._wait_for_reports(fleet)
            await self._end_holder(fleet, signal.SIGTERM)
            await self._wait_for_reports(fleet)
            await self._end_holder(fleet, signal.SIGKILL)
            await self._wait_for_reports(fleet)
            self._check_contract(fleet)

    async def _write(
        self, fleet: platform_fleet.PlatformFleet, count: int
    ) -> None:
        caller = await platform_caller.Caller.connect(fleet.port(0))
        for number in range(count):
            await caller.run(f'WRITE item {number}')
        caller.close()

    async def _wait_for_reports(
        self, fleet: platform_fleet.PlatformFleet
    ) -> None:
        """Wait for the reports of two more windows of one holder."""
        known = {report.token for report in fleet.store.usage_reports}
        reported: set[int] = set()
        async with asyncio.timeout(60):
            while len(reported) < 2:
                await asyncio.sleep(0.1)
                reported = {
                    report.window
                    for report in fleet.store.usage_reports
                    if report.token not in known
                }

    async def _end_holder(
        self, fleet: platform_fleet.PlatformFleet, end: signal.Signals
    ) -> None:
        content, _ = fleet.store.rows['fleet', 'task/usage']
        holder = orjson.loads(content)['host'].removeprefix('host-')
        await fleet.stop_host(int(holder), end)
        await fleet.start_host(int(holder))

    def _check_contract(self, fleet: platform_fleet.PlatformFleet) -> None:
        reports = fleet.store.usage_reports
        contents = {report.window: report.counts for report in reports}
        for report in reports:
            self.assertEqual(contents[report.window], report.counts)
        tokens = [report.token for report in reports]
        self.assertEqual(tokens, sorted(tokens))
        self.assertEqual(len(set(tokens)), 3)
        holders = {(report.token, report.holder) for report in reports}
        self.assertEqual(len(holders), 3)
        windows = sorted(contents)
        expected = list(range(windows[0], windows[-1] + 1))
        self.assertEqual(windows, expected)
        counted: collections.Counter[str] = collections.Counter()
        for counts in contents.values():
            counted.update(counts)
        executed = len(fleet.group.executed_statements)
        self.assertGreaterEqual(executed, WRITE_COUNT)
        self.assertEqual(counted, {'depot': executed})
