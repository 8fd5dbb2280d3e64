"""Workload models: who sends what, how often, and from where."""

import typing

import pydantic

Share = typing.Annotated[float, pydantic.Field(ge=0, le=1)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class CallerGroup(_Model):
    """Callers of one workspace that behave alike.

    `rate` is statements a second of the whole group, sent in an open loop:
    a late answer does not delay the statements after it. Shares say how
    many of the statements are reads and how many belong to transactions.
    `moves` is the share of statements before which a session goes to
    another host.
    """

    workspace: str
    key: str
    database: str
    sessions: int = 4
    rate: float = 40
    read_share: Share = 0.8
    transaction_share: Share = 0.05
    moves: Share = 0.02


class Workload(_Model):
    """A whole experiment: its length, its seed and its callers."""

    seconds: float = 10
    seed: int = 1
    groups: list[CallerGroup]


class Address(typing.NamedTuple):
    """Where the callers of one host connect."""

    host: str
    address: str
    port: int
