"""The host program imports only what its requirements file installs.

All distributions are installed in the development environment, so that one
that is missing from the file fails only where the program is deployed.
"""

import importlib.metadata
import json
import pathlib
import re
import subprocess
import sys
import unittest

REPOSITORY = pathlib.Path(__file__).parents[2]
REQUIREMENTS = REPOSITORY / 'deploy' / 'requirements.txt'
OWN_DISTRIBUTION = 'egretstep'
_LIST_MODULES = """
import json, sys
import egretstep.programs.node
print(json.dumps(sorted({name.partition('.')[0] for name in sys.modules})))
"""


class ImportsTest(unittest.TestCase):
    """Checks the requirements file against the imports of the host program.

    Load pattern: many hosts start at once on newly installed machines, where
    a program that imports an unlisted distribution does not start.
    """

    def test_all_imported_distributions_are_required(self) -> None:
        self.assertEqual(
            _imported_distributions() - _required_distributions(), set()
        )


def _imported_distributions() -> set[str]:
    with_program = subprocess.run(
        [sys.executable, '-c', _LIST_MODULES],
        check=True,
        capture_output=True,
        cwd=REPOSITORY / 'src',
    )
    providers = importlib.metadata.packages_distributions()
    without_program = subprocess.run(
        [sys.executable, '-c', _LIST_MODULES.replace('import egretstep', '#')],
        check=True,
        capture_output=True,
        cwd=REPOSITORY / 'src',
    )
    modules = set(json.loads(with_program.stdout)) - set(
        json.loads(without_program.stdout)
    )
    return {
        _canonical(provider)
        for module in modules
        for provider in providers.get(module, ())
    } - {OWN_DISTRIBUTION}


def _required_distributions() -> set[str]:
    """Return the required distributions and all that these require."""
    visited: set[str] = set()
    unvisited = [
        _distribution_name(line)
        for line in REQUIREMENTS.read_text().splitlines()
        if line
    ]
    while unvisited:
        name = unvisited.pop()
        if name not in visited:
            visited.add(name)
            dependencies = importlib.metadata.requires(name) or ()
            unvisited += [
                _distribution_name(line)
                for line in dependencies
                if 'extra ==' not in line
            ]
    return visited


def _distribution_name(requirement: str) -> str:
    return _canonical(re.match(r'[\w.-]+', requirement).group())


def _canonical(name: str) -> str:
    return re.sub('[-_.]+', '-', name).lower()
