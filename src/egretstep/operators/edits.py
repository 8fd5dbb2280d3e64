"""Small edits of the settings' YAML that keep its order and comments."""

import difflib
import io
import typing

import ruamel.yaml

from egretstep import errors
from egretstep.settings import schema

Document = typing.MutableMapping[str, typing.Any]


def set_state(
    text: str,
    *,
    place: str,
    name: str,
    state: schema.AvailabilityState,
) -> str:
    """Return the text with an availability zone or database in or out.

    `place` is `zones` or `databases`.
    """
    document = _load(text)
    _find(document, place, name)['state'] = state.value
    return _dump(document)


def add_key(text: str, *, workspace: str, name: str, digest: str) -> str:
    """Return the text with one more key of a workspace."""
    document = _load(text)
    keys = _find(document, 'workspaces', workspace).setdefault('keys', {})
    if name in keys:
        raise errors.SettingsError(
            f'workspaces.{workspace}.keys.{name} stands already; '
            'choose another name',
        )
    keys[name] = {'digest': digest}
    return _dump(document)


def withdraw_key(text: str, *, workspace: str, name: str) -> str:
    """Return the text with a key of a workspace withdrawn."""
    document = _load(text)
    _find(document, 'workspaces', workspace)
    key = _find(document['workspaces'][workspace], 'keys', name)
    key['state'] = schema.KeyState.WITHDRAWN.value
    return _dump(document)


def difference(before: str, after: str) -> str:
    """Return a unified difference, empty when the texts are the same."""
    lines = difflib.unified_diff(
        before.splitlines(keepends=True),
        after.splitlines(keepends=True),
        fromfile='in force',
        tofile='new',
    )
    return ''.join(lines)


def _find(document: Document, place: str, name: str) -> Document:
    entries = document.get(place) or {}
    if name not in entries:
        raise errors.SettingsError(
            f'{place}.{name} is not there; one of {sorted(entries)}',
        )
    if entries[name] is None:
        entries[name] = {}
    return entries[name]


def _load(text: str) -> Document:
    return ruamel.yaml.YAML().load(text)


def _dump(document: Document) -> str:
    stream = io.StringIO()
    ruamel.yaml.YAML().dump(document, stream)
    return stream.getvalue()
