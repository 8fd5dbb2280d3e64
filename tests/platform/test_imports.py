"""The program of a host needs only what its deploy file installs."""

import importlib.metadata
import json
import pathlib
import re
import subprocess
import sys
import unittest

REPOSITORY = pathlib.Path(__file__).parents[2]
REQUIREMENTS = REPOSITORY / 'deploy' / 'requirements.txt'
OWN = 'egretstep'
_LIST_MODULES = """
import json, sys
import egretstep.programs.node
print(json.dumps(sorted({name.partition('.')[0] for name in sys.modules})))
"""


class ImportsTest(unittest.TestCase):
    """Load pattern: many hosts start at once on machines that are new."""

    def test_all_distributions_are_required(self) -> None:
        self.assertEqual(_used() - _required(), set())


def _used() -> set[str]:
    listed = subprocess.run(
        [sys.executable, '-c', _LIST_MODULES],
        check=True,
        capture_output=True,
        cwd=REPOSITORY / 'src',
    )
    providers = importlib.metadata.packages_distributions()
    idle = subprocess.run(
        [sys.executable, '-c', _LIST_MODULES.replace('import egretstep', '#')],
        check=True,
        capture_output=True,
        cwd=REPOSITORY / 'src',
    )
    modules = set(json.loads(listed.stdout)) - set(json.loads(idle.stdout))
    return {
        _canonical(provider)
        for module in modules
        for provider in providers.get(module, ())
    } - {OWN}


def _required() -> set[str]:
    """Return the required distributions and all that these require."""
    found: set[str] = set()
    waiting = [
        _name(line) for line in REQUIREMENTS.read_text().splitlines() if line
    ]
    while waiting:
        name = waiting.pop()
        if name not in found:
            found.add(name)
            needed = importlib.metadata.requires(name) or ()
            waiting += [
                _name(line) for line in needed if 'extra ==' not in line
            ]
    return found


def _name(requirement: str) -> str:
    return _canonical(re.match(r'[\w.-]+', requirement).group())


def _canonical(name: str) -> str:
    return re.sub('[-_.]+', '-', name).lower()
