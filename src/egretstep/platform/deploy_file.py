"""Checks the file from which the platform builds and starts the programs.

    python -m egretstep.platform.deploy_file deploy/system.toml

Reports all errors of the file; the exit code is 2 if there are any.
"""

import argparse
import collections
import pathlib
import sys
import tomllib
import typing

import pydantic

MAX_ROLES_PER_HOST = 2
EXIT_INVALID_FILE = 2
_METRICS_OPTION = '--metrics-port'


class _Role(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')

    run: str = pydantic.Field(min_length=1)
    on: str = pydantic.Field(min_length=1)
    share: float | None = pydantic.Field(default=None, gt=0, le=1)
    count: int | None = pydantic.Field(default=None, ge=1)
    apart: bool = False
    serves: list[typing.Literal['front', 'control']] = []
    metrics: str | None = pydantic.Field(
        default=None,
        pattern=r'^\d{1,5}/\S+$',
    )
    template: str | None = None
    env: dict[str, str] = {}


class _System(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')

    build: str = pydantic.Field(min_length=1)
    roles: dict[str, _Role] = pydantic.Field(min_length=1)


def check(path: pathlib.Path) -> list[str]:
    """Return the errors of a deploy file, one line for each; empty if none."""
    try:
        fields = tomllib.loads(path.read_text(encoding='utf-8'))
        system = _System.model_validate(fields)
    except OSError as error:
        return [f'can not be read: {error}']
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return [f'is no TOML: {error}']
    except pydantic.ValidationError as error:
        return [_describe(problem) for problem in error.errors()]
    problems = _check_hosts(system)
    for name, role in system.roles.items():
        problems.extend(
            f'roles.{name}: {problem}' for problem in _check_role(role)
        )
    return problems


def _describe(problem: typing.Mapping[str, typing.Any]) -> str:
    field_path = '.'.join(str(part) for part in problem['loc'])
    return f'{field_path}: {problem["msg"]}, not {problem["input"]!r}'


def _check_hosts(system: _System) -> list[str]:
    """Return the errors of roles that run on the same kind of host."""
    problems = []
    roles_by_kind: dict[str, list[str]] = collections.defaultdict(list)
    served_by_kind: set[tuple[str, str]] = set()
    for name, role in system.roles.items():
        roles_by_kind[role.on].append(name)
        for served in role.serves:
            if (role.on, served) in served_by_kind:
                problems.append(
                    f'roles.{name}: another role on {role.on!r} '
                    f'serves {served!r} already',
                )
            served_by_kind.add((role.on, served))
    problems.extend(
        f'{len(names)} roles run on {kind!r} ({", ".join(names)}); '
        f'{MAX_ROLES_PER_HOST} are the most'
        for kind, names in roles_by_kind.items()
        if len(names) > MAX_ROLES_PER_HOST
    )
    return problems


def _check_role(role: _Role) -> list[str]:
    problems = []
    if (role.share is None) == (role.count is None):
        problems.append('give either share or count')
    if role.metrics and _METRICS_OPTION in role.run:
        _, _, port_argument = role.run.partition(f'{_METRICS_OPTION} ')
        port = role.metrics.partition('/')[0]
        if port_argument.partition(' ')[0] != port:
            problems.append(
                f'metrics names port {port}, run says {port_argument!r}'
            )
    return problems


def main() -> int:
    """Check the file that the command line names; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('file', type=pathlib.Path)
    path = parser.parse_args().file
    problems = check(path)
    for problem in problems:
        sys.stderr.write(f'{path}: {problem}\n')
    if problems:
        return EXIT_INVALID_FILE
    sys.stdout.write(f'{path}: no errors\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
