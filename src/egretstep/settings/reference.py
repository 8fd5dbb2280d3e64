"""Generates docs/CONFIGURATION.md from the schema of the settings.

`python -m egretstep.settings.reference` prints the page and `make reference`
writes it. A test checks that the file is up to date.
"""

import enum
import inspect
import sys
import types
import typing

from pydantic import fields as pydantic_fields

from egretstep.settings import schema

HEAD = """# Configuration

This page is made from the schema (`make reference`); do not edit it.

Two kinds of YAML files: the settings of the fleet, which operators change
together with `egretstep apply`, and the settings of one host, which its
programs read when they start. `egretstep check FILE` and
`egretstep check --host FILE` report every error at once. On the users'
platform the fleet's configuration and the settings of a process come from
the platform in formats of its own; see docs/PLATFORM.md.

Names that end in `_ms` are times in milliseconds, rates are statements a
second. Values of `defaults` pass down from the fleet to availability zones,
databases and workspaces; `egretstep explain` tells where one comes from.
"""
MODELS: tuple[type[schema.Model], ...] = (
    schema.FleetSettings,
    schema.Tunables,
    schema.ZoneTunables,
    schema.Zone,
    schema.Database,
    schema.Server,
    schema.Workspace,
    schema.Key,
    schema.Route,
    schema.HostSettings,
)


def make_page() -> str:
    """Return the page as Markdown."""
    return '\n'.join([HEAD, *map(_section, MODELS)])


def _section(model: type[schema.Model]) -> str:
    rows = [
        f'| `{name}` | {type_text(field.annotation)}{_constraints(field)} '
        f'| {_default(field)} |'
        for name, field in model.model_fields.items()
    ]
    lines = [
        f'## {model.__name__}',
        '',
        inspect.getdoc(model) or '',
        '',
        '| name | type | default |',
        '| --- | --- | --- |',
        *rows,
        '',
    ]
    return '\n'.join(lines)


def type_text(annotation: typing.Any) -> str:
    """Return the name of a type in plain words.

    >>> type_text(dict[str, int | None])
    'map of int or none'
    """
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin is typing.Annotated:
        return type_text(arguments[0]) + _constraints(arguments[1])
    if origin is dict:
        return f'map of {type_text(arguments[1])}'
    if origin is list:
        return f'list of {type_text(arguments[0])}'
    if origin is typing.Literal:
        return ' or '.join(f'`{choice}`' for choice in arguments)
    if origin in {types.UnionType, typing.Union}:
        return ' or '.join(map(type_text, arguments))
    return _plain_type(annotation)


def _plain_type(annotation: typing.Any) -> str:
    if annotation is types.NoneType:
        return 'none'
    if issubclass(annotation, enum.Enum):
        return ' or '.join(f'`{choice.value}`' for choice in annotation)
    return annotation.__name__


def _constraints(field: pydantic_fields.FieldInfo) -> str:
    constraints = [
        f'{name} {getattr(constraint, name)}'
        for constraint in field.metadata
        for name in ('ge', 'gt', 'le', 'lt', 'min_length')
        if getattr(constraint, name, None) is not None
    ]
    return f' ({", ".join(constraints)})' if constraints else ''


def _default(field: pydantic_fields.FieldInfo) -> str:
    if field.is_required():
        return 'must be given'
    default = field.default
    if isinstance(default, enum.Enum):
        return f'`{default.value}`'
    if isinstance(default, schema.Model):
        return 'nothing set'
    if default is None or default in ('', [], {}):
        return 'none'
    return f'`{default}`'


def main() -> None:
    """Print the page."""
    sys.stdout.write(make_page())


if __name__ == '__main__':
    main()
