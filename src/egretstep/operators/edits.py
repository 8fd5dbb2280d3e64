"""Edits of the settings' YAML text that keep its order and comments."""

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
    section: str,
    name: str,
    state: schema.AvailabilityState,
) -> str:
    """Return the text with another state of an availability zone or database.

    `section` is `zones` or `databases`. Raises `errors.SettingsError` if it
    has no entry with the name.
    """
    document = _load(text)
    _find_entry(document, section, name)['state'] = state.value
    return _dump(document)


def add_key(text: str, *, workspace: str, name: str, digest: str) -> str:
    """Return the text with a key added to a workspace.

    Raises `errors.SettingsError` if the workspace does not exist or already
    has a key with the name.
    """
    document = _load(text)
    keys = _find_entry(document, 'workspaces', workspace).setdefault('keys', {})
    if name in keys:
        raise errors.SettingsError(
            f'workspaces.{workspace}.keys.{name} already exists; '
            'choose another name',
        )
    keys[name] = {'digest': digest}
    return _dump(document)


def withdraw_key(text: str, *, workspace: str, name: str) -> str:
    """Return the text with a key of a workspace withdrawn.

    Raises `errors.SettingsError` if the workspace or the key does not exist.
    """
    document = _load(text)
    _find_entry(document, 'workspaces', workspace)
    key = _find_entry(document['workspaces'][workspace], 'keys', name)
    key['state'] = schema.KeyState.WITHDRAWN.value
    return _dump(document)


def unified_diff(before: str, after: str) -> str:
    """Return a unified diff, which is empty if the texts are equal."""
    lines = difflib.unified_diff(
        before.splitlines(keepends=True),
        after.splitlines(keepends=True),
        fromfile='in force',
        tofile='new',
    )
    return ''.join(lines)


def _find_entry(document: Document, section: str, name: str) -> Document:
    entries = document.get(section) or {}
    if name not in entries:
        raise errors.SettingsError(
            f'{section}.{name} does not exist; use one of {sorted(entries)}',
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
