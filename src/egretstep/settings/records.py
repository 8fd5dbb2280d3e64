"""The versioned settings record that the hosts of a fleet agree on.

A record holds the operators' YAML text, the same settings as a JSON document
for the hosts, and the names of the witnesses. Witnesses are the hosts that
confirm the record while the platform's store is down.
"""

import functools
import typing

import orjson
import pydantic
import yaml

from egretstep import identifiers
from egretstep.settings import schema


class Record(pydantic.BaseModel):
    """One version of the settings.

    `previous_witnesses` are the witnesses of the version before it.
    """

    model_config = pydantic.ConfigDict(frozen=True, extra='forbid')

    version: int
    change_id: str
    author: str = ''
    comment: str = ''
    witnesses: tuple[str, ...] = ()
    previous_witnesses: tuple[str, ...] = ()
    text: str
    document: str = ''

    def fleet(self) -> schema.FleetSettings:
        """Return the parsed settings; results are cached.

        The JSON document is preferred, because parsing it is much cheaper
        than parsing the operators' YAML text.
        """
        if self.document:
            return _parse_document(self.document)
        return _parse_text(self.text)

    @property
    def settings_version(self) -> identifiers.SettingsVersion:
        """Return the version as a `SettingsVersion`."""
        return identifiers.SettingsVersion(self.version)


@functools.lru_cache(maxsize=4)
def _parse_document(document: str) -> schema.FleetSettings:
    return schema.FleetSettings.model_validate_json(document)


@functools.lru_cache(maxsize=4)
def _parse_text(text: str) -> schema.FleetSettings:
    return schema.FleetSettings.model_validate(yaml.safe_load(text))


def encode(record: Record) -> bytes:
    """Serialize a record as JSON."""
    return orjson.dumps(record.model_dump())


def decode(data: bytes) -> Record:
    """Deserialize a record; raises `pydantic.ValidationError`."""
    return Record.model_validate(orjson.loads(data))


def majority(witnesses: typing.Sized) -> int:
    """Return the number of witnesses that make a majority."""
    return len(witnesses) // 2 + 1
