"""Tests of the command line, with settings files and a running agent."""

import os
import subprocess
import sys
import tempfile
import unittest

from standins import fleet, processes
from tests import fixtures

EXAMPLE = processes.ROOT / 'examples' / 'ausili-brambilla' / 'fleet.yaml'


def run(*arguments: str, **environment: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, '-m', 'egretstep.programs.command', *arguments],
        cwd=processes.ROOT,
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        input='a long key',
    )


class CommandTest(unittest.IsolatedAsyncioTestCase):
    def test_check_names_every_error(self) -> None:
        self.assertEqual(run('check', str(EXAMPLE)).returncode, 0)
        with tempfile.NamedTemporaryFile('w', suffix='.yaml') as invalid_file:
            invalid_file.write('zones: {}\ncolour: blue\n')
            invalid_file.flush()
            completed = run('check', invalid_file.name)
        self.assertEqual(completed.returncode, 2)
        self.assertIn('line 2: colour', completed.stderr)
        self.assertIn('databases', completed.stderr)

    def test_explain_names_the_level(self) -> None:
        completed = run(
            'explain', str(EXAMPLE), 'rate', '--workspace', 'nurses'
        )
        self.assertIn('rate = 1200.0 from workspaces.nurses', completed.stdout)

    async def test_changes_through_an_agent(self) -> None:
        deployment = fleet.Fleet(
            example='ausili-brambilla',
            port_offset=fixtures.PORT_OFFSET,
        )
        self.addCleanup(deployment.kill_all)
        deployment.start_only_agents(1)
        await deployment.wait_agents()
        host = next(iter(deployment.hosts.values()))
        agent = {
            'EGRETSTEP_AGENT': f'http://{host.address}:{host.operator_port}',
            'EGRETSTEP_TOKEN': host.operator_token,
        }
        unauthorized = run('status', EGRETSTEP_AGENT=agent['EGRETSTEP_AGENT'])
        self.assertEqual(unauthorized.returncode, 1)
        self.assertIn('EGRETSTEP_TOKEN', unauthorized.stderr)
        for arguments, expected_code, expected_output in (
            (('apply', str(EXAMPLE)), 0, 'version 1 is accepted'),
            (('apply', str(EXAMPLE), '--expect', '0'), 3, ''),
            (('zone', 'out', 'bergamo'), 0, 'version 2 is accepted'),
            (('key', 'withdraw', 'nurses', 'first'), 0, 'version 3'),
            (('key', 'add', 'nurses', 'second'), 0, 'version 4'),
            (('zone', 'out', 'nowhere'), 2, ''),
            (('diff', str(EXAMPLE)), 0, '-    state: out'),
            (('status',), 0, 'settings version 4'),
        ):
            with self.subTest(arguments=arguments):
                completed = run(*arguments, **agent)
                self.assertEqual(
                    completed.returncode, expected_code, completed.stderr
                )
                self.assertIn(expected_output, completed.stdout)
