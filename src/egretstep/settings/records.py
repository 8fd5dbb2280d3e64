"""The versioned record that the fleet agrees on.

A record holds the operators' YAML text, the same as a JSON document for the
hosts, and the names of the witnesses, the hosts that vouch for the record while the platform's store is down.
"""

import functools
import typing

import orjson
import pydantic
import yaml

from egretstep import identifiers
from egretstep.settings import schema


class Record(pydantic.BaseModel):
    """One accepted version of the settings."""

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
        """Return the settings; the same record is parsed once.

        Hosts parse the JSON document, which is much cheaper than the
        operators' YAML text.
        """
        if self.document:
            return _parse_document(self.document)
        return _parse_text(self.text)

    @property
    def settings_version(self) -> identifiers.SettingsVersion:
        """Return the version as its own type."""
        return identifiers.SettingsVersion(self.version)


@functools.lru_cache(maxsize=4)
def _parse_document(document: str) -> schema.FleetSettings:
    return schema.FleetSettings.model_validate_json(document)


@functools.lru_cache(maxsize=4)
def _parse_text(text: str) -> schema.FleetSettings:
    return schema.FleetSettings.model_validate(yaml.safe_load(text))


def encode(record: Record) -> bytes:
    """Serialize a record."""
    return orjson.dumps(record.model_dump())


def decode(data: bytes) -> Record:
    """Read a serialized record; raises `pydantic.ValidationError`."""
    return Record.model_validate(orjson.loads(data))


def majority(witnesses: typing.Sized) -> int:
    """Return how many witnesses are more than half of them."""
    return len(witnesses) // 2 + 1
