"""Runs the scenarios in two halves side by side, each on ports of its own."""

import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BEHAVE = pathlib.Path(sys.executable).parent / 'behave'
PORT_OFFSETS = (6000, 9000)
_TOTALS = re.compile(r'^(\d+) scenarios? passed, (.*)$', re.MULTILINE)


def main() -> int:
    """Print the output of both halves and the number of passed scenarios."""
    files = sorted((ROOT / 'features').glob('*.feature'), key=_scenario_count)
    running = [
        _start(files[part :: len(PORT_OFFSETS)], offset)
        for part, offset in enumerate(PORT_OFFSETS)
    ]
    outputs = [process.communicate()[0] for process in running]
    sys.stdout.write('\n'.join(outputs))
    passed = sum(
        int(found.group(1))
        for output in outputs
        for found in _TOTALS.finditer(output)
    )
    sys.stdout.write(f'\n{passed} scenarios passed in all\n')
    return max(process.returncode for process in running)


def _scenario_count(path: pathlib.Path) -> int:
    return path.read_text().count('Scenario:')


def _start(
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
