"""Runs all checks and tests and prints the totals on the last line.

KNOWN-RED.txt lists tests that fail because of a known fault, one a line; the
name of the test ends at the first `|`. They are run and printed but do not
count as failures. A test that passes again must be removed from the list.
"""

import dataclasses
import pathlib
import re
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(sys.executable).parent
SOURCES = (
    'src',
    'standins',
    'measurements',
    'soak',
    'tests',
    'properties',
    'specifications',
    'features',
)
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
CLIENT_TESTS = 'tests.clients'
UNIT_TEST_COUNT = r'^Ran (\d+) tests?'
FAILED_UNIT_TEST = r'^(?:FAIL|ERROR): \S+ \((\S+)\)'


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A command, and how to read the results of its tests from the output.

    `count` is a regular expression whose group is the number of tests, or
    empty for a step that counts as one test. `failed_name` matches the name
    of each test that failed.
    """

    name: str
    command: tuple[str, ...]
    count: str = ''
    failed_name: str = ''


@dataclasses.dataclass(slots=True)
class Totals:
    """Number of tests that passed, that failed, and that failed as listed."""

    passed: int = 0
    failed: int = 0
    known: int = 0


def _unit_tests() -> list[str]:
    """Return the names of all test modules and packages but the client tests."""
    folder = ROOT / 'tests'
    packages = [path.parent.name for path in folder.glob('*/__init__.py')]
    modules = [path.stem for path in folder.glob('test*.py')]
    names = sorted(f'tests.{name}' for name in (*packages, *modules))
    return [name for name in names if name != CLIENT_TESTS]


_TEST_ROOTS = ('-s', '.', '-t', '.')
NOSE2 = (sys.executable, '-W', 'ignore', '-m', 'nose2', *_TEST_ROOTS)
STEPS = (
    Step('format', (str(BIN / 'ruff'), 'format', '--check', *SOURCES)),
    Step('lint', (str(BIN / 'ruff'), 'check', *SOURCES)),
    Step('style', (str(BIN / 'flake8'), *SOURCES)),
    Step(
        'types',
        (
            str(BIN / 'mypy'),
            'src/egretstep',
            'standins',
            'measurements',
            'soak',
        ),
    ),
    Step(
        'models',
        (sys.executable, '-m', 'specifications'),
        count=r'^(\d+) models as expected',
        failed_name=r'^unexpected: (\S+)',
    ),
    Step(
        'unit tests',
        (
            *NOSE2,
            *_unit_tests(),
            'properties',
        ),
        count=UNIT_TEST_COUNT,
        failed_name=FAILED_UNIT_TEST,
    ),
    Step(
        'scenarios',
        (sys.executable, 'tests/scenarios.py'),
        count=r'^(\d+) scenarios passed in all',
        failed_name=r'^\s*(features/\S+:\d+)\s',
    ),
    # These load the machine, and run one at a time after all others.
    Step(
        'client tests',
        (
            *NOSE2,
            CLIENT_TESTS,
        ),
        count=UNIT_TEST_COUNT,
        failed_name=FAILED_UNIT_TEST,
    ),
)


def main() -> int:
    """Run all steps and return 1 if any test failed unexpectedly, else 0."""
    totals = Totals()
    known = _read_known()
    for step in STEPS:
        _run(step, known, totals)
    if totals.known:
        sys.stdout.write(f'{totals.known} known to fail, see KNOWN-RED.txt\n')
    sys.stdout.write(f'{totals.passed} passed, {totals.failed} failed\n')
    return 1 if totals.failed else 0


def _run(step: Step, known: set[str], totals: Totals) -> None:
    started_at = time.monotonic()
    completed = subprocess.run(
        step.command,
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    seconds = time.monotonic() - started_at
    failed = (
        set(re.findall(step.failed_name, completed.stdout, re.M))
        if (step.failed_name and completed.returncode)
        else set()
    )
    unexpected = failed - known
    count = _count(step, completed.stdout)
    if completed.returncode and not failed:
        unexpected = {step.name}
    if unexpected:
        sys.stdout.write(completed.stdout)
    totals.known += len(failed & known)
    totals.failed += len(unexpected)
    # Other steps count only the tests that passed.
    counts_failed = step.failed_name == FAILED_UNIT_TEST
    totals.passed += count - len(failed) if counts_failed else count
    if not step.count and not completed.returncode:
        totals.passed += 1
    for name in sorted(failed & known):
        sys.stdout.write(f'known to fail: {name}\n')
    state = 'FAILED' if unexpected else 'ok'
    sys.stdout.write(f'{step.name}: {state}, {count or 1} in {seconds:.1f} s\n')
    sys.stdout.flush()


def _count(step: Step, output: str) -> int:
    match = re.search(step.count, output, re.M) if step.count else None
    return int(match.group(1)) if match else 0


def _read_known() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    return {
        line.split('|')[0].strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.strip() and not line.startswith('#')
    }


if __name__ == '__main__':
    sys.exit(main())
