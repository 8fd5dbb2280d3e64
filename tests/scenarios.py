"""Runs the scenarios in two parallel halves, each on its own port range."""

import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BEHAVE = pathlib.Path(sys.executable).parent / 'behave'
PORT_OFFSETS = (6000, 9000)
_PASSED_COUNT = re.compile(r'^(\d+) scenarios? passed, (.*)$', re.MULTILINE)


def main() -> int:
    """Print the output of both halves and the number of passed scenarios.

    Returns the higher exit code of the two.
    """
    files = sorted((ROOT / 'features').glob('*.feature'), key=_scenario_count)
    processes = [
        _start_behave(files[half :: len(PORT_OFFSETS)], offset)
        for half, offset in enumerate(PORT_OFFSETS)
    ]
    outputs = [process.communicate()[0] for process in processes]
    sys.stdout.write('\n'.join(outputs))
    passed = sum(
        int(match.group(1))
        for output in outputs
        for match in _PASSED_COUNT.finditer(output)
    )
    sys.stdout.write(f'\n{passed} scenarios passed in all\n')
    return max(process.returncode for process in processes)


def _scenario_count(path: pathlib.Path) -> int:
    return path.read_text().count('Scenario:')


def _start_behave(
    files: list[pathlib.Path],
    port_offset: int,
) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [
            str(BEHAVE),
            '--no-capture',
            '--format',
            'progress2',
            *(str(path.relative_to(ROOT)) for path in files),
        ],
        cwd=ROOT,
        env={**os.environ, 'EGRETSTEP_PORT_OFFSET': str(port_offset)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


if __name__ == '__main__':
    sys.exit(main())
