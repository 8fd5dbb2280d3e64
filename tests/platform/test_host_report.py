"""Operator commands that query one host of the fleet."""

import asyncio
import re
import subprocess
import unittest

import aiohttp
import orjson

from standins import platform_fleet
from tests import test_command

# A configuration must be in force within this time.
MAX_SETTINGS_AGE_SECONDS = 3.0
SWEEP_SECONDS = 1.0


class HostReportTest(unittest.IsolatedAsyncioTestCase):
    async def test_status_and_explain_of_a_running_host(self) -> None:
        async with platform_fleet.PlatformFleet(first_port=23700) as fleet:
            address = f'127.0.0.1:{fleet.metrics_port(0)}'
            completed = await _run_host_command('status', address)
            self.assertEqual(completed.returncode, 0, completed.stderr)
            self.assertRegex(
                completed.stdout,
                r'configuration \d+, from the store, confirmed [\d.]+ s ago',
            )
            self.assertIn('counting', completed.stdout)
            completed = await _run_host_command('status', address, '--json')
            report = orjson.loads(completed.stdout)
            self.assertEqual(len(report['hosts']), 3)
            self.assertTrue(report['is_ready'])
            self.assertLess(report['settings_age_s'], MAX_SETTINGS_AGE_SECONDS)
            self.assertNotIn('keys', completed.stdout)
            database = report['routes'][0]['database']
            completed = await _run_host_command('explain', address, database)
            self.assertIn(f'routes.{database}.timeout_s = ', completed.stdout)
            completed = await _run_host_command('explain', address, 'nothing')
            self.assertEqual(completed.returncode, 1)
            self.assertIn(database, completed.stderr)

    async def test_the_age_of_the_settings_is_published(self) -> None:
        async with platform_fleet.PlatformFleet(first_port=23750) as fleet:
            url = f'http://127.0.0.1:{fleet.metrics_port(0)}/metrics'
            await asyncio.sleep(SWEEP_SECONDS)
            async with aiohttp.request('GET', url) as response:
                page = await response.text()
            age = re.search(
                r'^egretstep_settings_age_seconds (\S+)$', page, re.M
            )
            self.assertIsNotNone(age, page)
            self.assertLess(float(age[1]), MAX_SETTINGS_AGE_SECONDS)

    async def test_invalid_address_is_quoted(self) -> None:
        completed = await _run_host_command('status', 'host-1')
        self.assertEqual(completed.returncode, 2)
        self.assertIn("'host-1'", completed.stderr)


async def _run_host_command(*arguments: str) -> subprocess.CompletedProcess:
    return await asyncio.to_thread(test_command.run, 'host', *arguments)
