"""Checks of the file by which the platform starts the programs."""

import pathlib
import tempfile
import unittest

from egretstep.platform import deploy_file

ROOT = pathlib.Path(__file__).parents[2]
INVALID_FILE = """
build = "true"

[roles.one]
run = "python3 src/node.py --metrics-port 9464"
on = "front"
share = 1.0
serves = ["front"]
metrics = "9465/metrics"

[roles.two]
run = "python3 src/node.py"
on = "front"
serves = ["front"]

[roles.three]
run = "python3 src/node.py"
on = "front"
count = 1
"""


class DeployFileTest(unittest.TestCase):
    def test_file_of_this_repository_has_no_errors(self) -> None:
        self.assertEqual(deploy_file.check(ROOT / 'deploy/system.toml'), [])

    def test_all_errors_are_reported_at_once(self) -> None:
        problems = self._check(INVALID_FILE)
        self.assertEqual(len(problems), 4, problems)
        report = '\n'.join(problems)
        for part in ('9465', "'9464'", 'share or count', '3 roles', 'already'):
            self.assertIn(part, report)

    def test_invalid_fields_are_quoted(self) -> None:
        text = '[roles.one]\nrun = ""\non = "front"\nshare = 2\ncolour = 1\n'
        report = '\n'.join(self._check(text))
        for part in ('build', 'roles.one.run', 'not 2', 'roles.one.colour'):
            self.assertIn(part, report)

    def test_unreadable_files_are_reported(self) -> None:
        self.assertIn('no TOML', self._check('[')[0])
        missing = deploy_file.check(ROOT / 'deploy/nothing.toml')
        self.assertIn('can not be read', missing[0])

    def _check(self, text: str) -> list[str]:
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
            file.write(text)
            file.flush()
            return deploy_file.check(pathlib.Path(file.name))
