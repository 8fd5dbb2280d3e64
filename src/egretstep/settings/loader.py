"""Parsing and validation of settings in YAML.

All errors of a document are reported together. Each names the path in the
document, the line, the invalid value and the remedy.
"""

import dataclasses
import pathlib
import typing

import pydantic
import yaml
from returns import result

ModelT = typing.TypeVar('ModelT', bound=pydantic.BaseModel)
MAX_SETTINGS_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """One error in a settings document; `line` is 0 if it has no line."""

    path: str
    line: int
    bad_value: str
    remedy: str

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        return (
            f'line {self.line}: {self.path}: {self.remedy} '
            f'(got {self.bad_value})'
        )


Problems = tuple[Problem, ...]


def parse(
    *,
    text: str,
    model: type[ModelT],
) -> result.Result[ModelT, Problems]:
    """Parse a YAML document and validate it against a model.

    Returns the model, or all problems of the document.
    """
    if len(text) > MAX_SETTINGS_BYTES:
        return result.Failure((_size_problem(text),))
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        document = yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        return result.Failure((_yaml_problem(error),))
    try:
        return result.Success(model.model_validate(document))
    except pydantic.ValidationError as error:
        problems = tuple(
            _schema_problem(node=node, details=details)
            for details in error.errors(include_url=False)
        )
        return result.Failure(problems)


def load(
    *,
    path: pathlib.Path,
    model: type[ModelT],
) -> result.Result[ModelT, Problems]:
    """Read, parse and validate a YAML file; see `parse`."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem(
            path=str(path),
            line=0,
            bad_value=str(error),
            remedy='name a readable YAML file',
        )
        return result.Failure((problem,))
    return parse(text=text, model=model)


def _size_problem(text: str) -> Problem:
    return Problem(
        path='(document)',
        line=0,
        bad_value=f'{len(text)} characters',
        remedy=f'write at most {MAX_SETTINGS_BYTES}',
    )


def _yaml_problem(error: Exception) -> Problem:
    mark = getattr(error, 'problem_mark', None)
    return Problem(
        path='(document)',
        line=mark.line + 1 if mark else 0,
        bad_value=str(error).splitlines()[0],
        remedy='write valid YAML',
    )


def _schema_problem(*, node: typing.Any, details: typing.Any) -> Problem:
    location = details['loc']
    return Problem(
        path='.'.join(str(part) for part in location) or '(document)',
        line=_find_line(node=node, location=location),
        bad_value=_abbreviate(details['input']),
        remedy=details['msg'],
    )


def _abbreviate(bad_value: object) -> str:
    shown = repr(bad_value)
    max_characters = 60
    if len(shown) <= max_characters:
        return shown
    return f'{shown[:max_characters]}...'


def _find_line(*, node: typing.Any, location: tuple[typing.Any, ...]) -> int:
    line = node.start_mark.line + 1 if node else 0
    for part in location:
        child = _find_child(node=node, part=part)
        if child is None:
            break
        line, node = child
    return line


def _find_child(*, node: typing.Any, part: typing.Any) -> typing.Any:
    if isinstance(node, yaml.MappingNode):
        for key_node, value_node in node.value:
            if key_node.value == str(part):
                return key_node.start_mark.line + 1, value_node
    is_item = isinstance(node, yaml.SequenceNode) and isinstance(part, int)
    if is_item and part < len(node.value):
        return node.value[part].start_mark.line + 1, node.value[part]
    return None
