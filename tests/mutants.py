"""Shows that scenarios and tests can fail: a mechanism is taken out in a copy.

`make mutants` copies the project, removes one mechanism, and runs the
scenario or the tests that are meant for it, which must then fail. Names of
features or test modules after the command choose among them.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from tests import mutations

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPIED = ('src', 'standins', 'soak', 'tests', 'features', 'examples')
PORT_OFFSET = '7000'


def main() -> int:
    """Run every mutant and return how many were not noticed."""
    wanted = set(sys.argv[1:])
    unnoticed = 0
    for mutant in mutations.MUTANTS:
        if wanted and not {mutant.feature, mutant.tests} & wanted:
            continue
        noticed = _is_noticed(mutant)
        unnoticed += not noticed
        state = 'noticed' if noticed else 'NOT NOTICED'
        sys.stdout.write(f'{mutant.name}: {state}\n')
        sys.stdout.flush()
    return unnoticed


def _is_noticed(mutant: mutations.Mutant) -> bool:
    with tempfile.TemporaryDirectory(prefix='egretstep-mutant-') as name:
        copy = pathlib.Path(name)
        for folder in COPIED:
            shutil.copytree(ROOT / folder, copy / folder)
        path = copy / mutant.path
        text = path.read_text()
        if mutant.old not in text:
            raise ValueError(f'{mutant.path} does not hold {mutant.old!r}')
        path.write_text(text.replace(mutant.old, mutant.new))
        return _fails(mutant, copy)


def _fails(mutant: mutations.Mutant, copy: pathlib.Path) -> bool:
    done = subprocess.run(
        _command(mutant),
        cwd=copy,
        env={
            **os.environ,
            'PYTHONPATH': f'{copy / "src"}{os.pathsep}{copy}',
            'EGRETSTEP_PORT_OFFSET': PORT_OFFSET,
        },
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    # A scenario or test that could not even start proves nothing.
    failed = ('ASSERT FAILED', 'FAILED (')
    return done.returncode != 0 and any(text in done.stdout for text in failed)


def _command(mutant: mutations.Mutant) -> list[str]:
    if mutant.tests:
        unit = ['-W', 'ignore', '-m', 'nose2', '-s', '.', '-t', '.']
        return [sys.executable, *unit, mutant.tests]
    return [
        str(pathlib.Path(sys.executable).parent / 'behave'),
        '--no-capture',
        '--format',
        'progress2',
        '--name',
        mutant.scenario,
        f'features/{mutant.feature}.feature',
    ]


if __name__ == '__main__':
    sys.exit(main())
