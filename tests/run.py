"""Runs every check and prints the totals on the last line.

KNOWN-RED.txt lists tests that fail for a fault that is not mended yet, one
on a line before the first `|`. They are run and printed, and do not count
as failures; one that passes again must be taken off the list.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One command, and how its output tells how many tests it ran."""

    name: str
    command: tuple[str, ...]
    count: str = ''
    failed_name: str = ''


@dataclasses.dataclass(slots=True)
class Totals:
    """Tests that passed, that failed, and that are known to fail."""

    passed: int = 0
    failed: int = 0
    known: int = 0


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
            sys.executable,
            '-W',
            'ignore',
            '-m',
            'nose2',
            '-s',
            '.',
            '-t',
            '.',
            'tests',
            'properties',
        ),
        count=r'^Ran (\d+) tests?',
        failed_name=r'^(?:FAIL|ERROR): \S+ \((\S+)\)',
    ),
    Step(
        'scenarios',
        (sys.executable, 'tests/scenarios.py'),
        count=r'^(\d+) scenarios passed in all',
        failed_name=r'^\s*(features/\S+:\d+)\s',
    ),
)


def main() -> int:
    """Run the steps and return the exit code."""
    totals = Totals()
    known = _read_known()
    for step in STEPS:
        _run(step, known, totals)
    if totals.known:
        sys.stdout.write(f'{totals.known} known to fail, see KNOWN-RED.txt\n')
    sys.stdout.write(f'{totals.passed} passed, {totals.failed} failed\n')
    return 1 if totals.failed else 0


def _run(step: Step, known: set[str], totals: Totals) -> None:
    started = time.monotonic()
    done = subprocess.run(
        step.command,
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    took = time.monotonic() - started
    failed = (
        set(re.findall(step.failed_name, done.stdout, re.M))
        if (step.failed_name and done.returncode)
        else set()
    )
    unexpected = failed - known
    count = _count(step, done.stdout)
    if done.returncode and not failed:
        unexpected = {step.name}
    if unexpected:
        sys.stdout.write(done.stdout)
    totals.known += len(failed & known)
    totals.failed += len(unexpected)
    is_total = step.name == 'unit tests'
    totals.passed += count - len(failed) if is_total else count
    if not step.count and not done.returncode:
        totals.passed += 1
    for name in sorted(failed & known):
        sys.stdout.write(f'known to fail: {name}\n')
    state = 'FAILED' if unexpected else 'ok'
    sys.stdout.write(f'{step.name}: {state}, {count or 1} in {took:.1f} s\n')
    sys.stdout.flush()


def _count(step: Step, output: str) -> int:
    found = re.search(step.count, output, re.M) if step.count else None
    return int(found.group(1)) if found else 0


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
