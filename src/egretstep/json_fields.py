"""Checked access to the fields of JSON objects that other programs wrote.

An object may hold anything: missing fields, values of another type, numbers
that no calculation can use, values nested so deep that they can't be printed.
Each method returns a value of the stated type and range, or raises
`errors.MalformedFieldError`, whose message quotes at most a few characters.
"""

import base64
import typing

import orjson

from egretstep import errors

# Names are part of messages on one line, with blanks between the fields.
MAX_NAME_CHARACTERS = 200
MAX_TEXT_CHARACTERS = 4096
# Numbers between hosts are signed 64-bit integers.
MAX_INTEGER = 0x7FFFFFFFFFFFFFFF
MAX_NUMBER = 1e15
MAX_QUOTED_CHARACTERS = 80
_QUOTED_TYPES = (str, int, float, bool, type(None))

_Choice = typing.TypeVar('_Choice')


class JsonFields:
    """The fields of one JSON object.

    >>> fields = JsonFields.decode(b'{"slots": 3}')
    >>> fields.integer('slots', least=1)
    3
    """

    def __init__(self, fields: typing.Any) -> None:
        if not isinstance(fields, dict):
            raise errors.MalformedFieldError(
                f'{quote(fields)} is not an object with fields',
            )
        self._fields: dict[str, typing.Any] = fields

    @classmethod
    def decode(cls, content: bytes) -> 'JsonFields':
        """Decode the text of an object."""
        try:
            return cls(orjson.loads(content))
        except orjson.JSONDecodeError as error:
            raise errors.MalformedFieldError(f'not JSON: {error}') from error

    def has(self, name: str) -> bool:
        """Tell whether there is a field with a value other than null."""
        return self._fields.get(name) is not None

    def names(self) -> list[str]:
        """Return the names of all fields."""
        return list(self._fields)

    def text(self, name: str, *, default: str | None = None) -> str:
        """Return a text."""
        if default is not None and name not in self._fields:
            return default
        found = self._field(name)
        if isinstance(found, str) and len(found) <= MAX_TEXT_CHARACTERS:
            return found
        raise self._error(
            name, found, f'a text of at most {MAX_TEXT_CHARACTERS} characters'
        )

    def name(self, name: str) -> str:
        """Return a text that can stand in a line of fields."""
        return check_name(self.text(name), name)

    def integer(
        self,
        name: str,
        *,
        least: int = 0,
        most: int = MAX_INTEGER,
        default: int | None = None,
    ) -> int:
        """Return a whole number."""
        if default is not None and not self.has(name):
            return default
        found = self._field(name)
        if _is_integer(found) and least <= found <= most:
            return found
        raise self._error(name, found, f'a whole number from {least} to {most}')

    def number(
        self,
        name: str,
        *,
        least: float = 0,
        most: float = MAX_NUMBER,
        default: float | None = None,
    ) -> float:
        """Return a finite number."""
        if default is not None and not self.has(name):
            return default
        found = self._field(name)
        is_number = _is_integer(found) or isinstance(found, float)
        # Also false for a value that is not a number (NaN).
        if is_number and least <= found <= most:
            return float(found)
        raise self._error(name, found, f'a number from {least} to {most:g}')

    def encoded(self, name: str) -> bytes:
        """Return the bytes that a text in base64 encodes; empty without it."""
        if not self.has(name):
            return b''
        found = self._field(name)
        if not isinstance(found, str):
            raise self._error(name, found, 'a text in base64')
        try:
            return base64.b64decode(found)
        except ValueError as error:
            raise self._error(name, found, 'a text in base64') from error

    def flag(self, name: str, *, default: bool | None = None) -> bool:
        """Return true or false."""
        if default is not None and not self.has(name):
            return default
        found = self._field(name)
        if isinstance(found, bool):
            return found
        raise self._error(name, found, 'true or false')

    def choice(
        self, name: str, choices: typing.Mapping[str, _Choice]
    ) -> _Choice:
        """Return what a text stands for."""
        found = self._field(name)
        if isinstance(found, str) and found in choices:
            return choices[found]
        raise self._error(name, found, f'one of {sorted(choices)}')

    def objects(
        self, name: str, *, is_optional: bool = False
    ) -> list['JsonFields']:
        """Return a list of objects."""
        return [
            JsonFields(each)
            for each in self._list(name, is_optional=is_optional)
        ]

    def nested(self, name: str) -> 'JsonFields':
        """Return an object, without fields if there is none."""
        return JsonFields(self._fields.get(name) or {})

    def texts(self, name: str, *, is_optional: bool = False) -> list[str]:
        """Return a list of texts."""
        found = self._list(name, is_optional=is_optional)
        for each in found:
            if not isinstance(each, str):
                raise self._error(name, each, 'a list of texts')
        return found

    def name_lists(self, name: str) -> list[list[str]]:
        """Return a list of lists of texts that can stand in a line."""
        found = self._list(name, is_optional=False)
        for each in found:
            if not isinstance(each, list):
                raise self._error(name, each, 'a list of lists')
        return [
            [check_name(text, name) for text in each if isinstance(text, str)]
            for each in found
        ]

    def _list(self, name: str, *, is_optional: bool) -> list[typing.Any]:
        if is_optional and not self.has(name):
            return []
        found = self._field(name)
        if isinstance(found, list):
            return found
        raise self._error(name, found, 'a list')

    def _field(self, name: str) -> typing.Any:
        try:
            return self._fields[name]
        except KeyError as error:
            raise errors.MalformedFieldError(
                f'field {name!r} is missing',
            ) from error

    def _error(
        self, name: str, found: typing.Any, valid: str
    ) -> errors.MalformedFieldError:
        return errors.MalformedFieldError(
            f'field {name!r} is {quote(found)}; valid is {valid}',
        )


def _is_integer(found: typing.Any) -> bool:
    return isinstance(found, int) and not isinstance(found, bool)


def check_name(text: str, field: str) -> str:
    """Return a text if it can stand in a line of fields."""
    is_line = text.isprintable() and not any(map(str.isspace, text))
    if is_line and 0 < len(text) <= MAX_NAME_CHARACTERS:
        return text
    raise errors.MalformedFieldError(
        f'field {field!r} is {quote(text)}; valid is a text of 1 to '
        f'{MAX_NAME_CHARACTERS} characters without blanks',
    )


def quote(found: typing.Any) -> str:
    """Return a short text for a value of any size and depth.

    >>> quote('ready'), quote([[]])
    ("'ready'", 'a list')
    """
    if isinstance(found, str):
        return repr(found[:MAX_QUOTED_CHARACTERS])
    if isinstance(found, _QUOTED_TYPES):
        return repr(found)
    return f'a {type(found).__name__}'
