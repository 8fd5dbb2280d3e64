"""Mutation tests: checks that tests fail without the mechanism they cover.

For each mutant, `make mutants` copies the project, removes one mechanism
from the copy, and runs the scenario or test module for it there, which must
fail. It must pass on an unchanged copy. Arguments of the command are names of features or test modules; only
their mutants run.
"""

import contextlib
import enum
import functools
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import typing

from tests import mutant_types, mutations

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPIED_FOLDERS = ('src', 'standins', 'soak', 'tests', 'features', 'examples')
PORT_OFFSET = '7000'


class State(enum.Enum):
    """What the tests of a mutant show.

    Tests that fail on the unchanged code show nothing.
    """

    NOTICED = 'noticed'
    UNNOTICED = 'NOT NOTICED'
    FAILS_UNCHANGED = 'TESTS FAIL ON THE UNCHANGED CODE'


def main() -> int:
    """Run the mutants and return how many no test noticed."""
    selected = set(sys.argv[1:])
    unnoticed_count = 0
    for mutant in mutations.MUTANTS:
        if selected and not {mutant.feature, mutant.tests} & selected:
            continue
        state = _state(mutant)
        unnoticed_count += state is not State.NOTICED
        sys.stdout.write(f'{mutant.name}: {state.value}\n')
        sys.stdout.flush()
    return unnoticed_count


def _state(mutant: mutant_types.Mutant) -> State:
    if not _passes_unchanged(tuple(_command(mutant))):
        return State.FAILS_UNCHANGED
    return State.NOTICED if _is_noticed(mutant) else State.UNNOTICED


@functools.cache
def _passes_unchanged(command: tuple[str, ...]) -> bool:
    with _copy_of_project() as copy:
        return _run(command, copy).returncode == 0


@contextlib.contextmanager
def _copy_of_project() -> typing.Generator[pathlib.Path, None, None]:
    with tempfile.TemporaryDirectory(prefix='egretstep-mutant-') as name:
        copy = pathlib.Path(name)
        for folder in COPIED_FOLDERS:
            shutil.copytree(ROOT / folder, copy / folder)
        yield copy


def _is_noticed(mutant: mutant_types.Mutant) -> bool:
    with _copy_of_project() as copy:
        path = copy / mutant.path
        text = path.read_text()
        if mutant.old not in text:
            raise ValueError(
                f'mutant {mutant.name!r}: {mutant.path} does not contain '
                f'{mutant.old!r}; update it in tests/',
            )
        path.write_text(text.replace(mutant.old, mutant.new))
        return _fails(mutant, copy)


def _fails(mutant: mutant_types.Mutant, copy: pathlib.Path) -> bool:
    completed = _run(_command(mutant), copy)
    # A run that fails before any assertion, as on an import error, does not
    # show that the tests notice the change.
    failure_markers = ('ASSERT FAILED', 'FAILED (')
    return completed.returncode != 0 and any(
        text in completed.stdout for text in failure_markers
    )


def _run(
    command: typing.Sequence[str], copy: pathlib.Path
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        command,
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


def _command(mutant: mutant_types.Mutant) -> list[str]:
    if mutant.tests:
        options = ['-W', 'ignore', '-m', 'nose2', '-s', '.', '-t', '.']
        return [sys.executable, *options, mutant.tests]
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
