"""Workload model: the callers of a load run and the statements they send."""

import typing

import pydantic

Share = typing.Annotated[float, pydantic.Field(ge=0, le=1)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class CallerGroup(_Model):
    """Callers of one workspace with the same key, database and behaviour.

    `sessions` is the number of sessions, each with a connection of its own.
    `rate` is the number of operations per second of the whole group. They
    are sent in an open loop: a late answer does not delay the operations of
    other sessions. `transaction_share` is the share of operations that are
    transactions, and `read_share` is the share of reads among the others.
    `moves` is the share of operations before which a session reconnects to
    a host chosen at random.
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
    """Duration in seconds, random seed and caller groups of one load run."""

    seconds: float = 10
    seed: int = 1
    groups: list[CallerGroup]


class Address(typing.NamedTuple):
    """Address and port on which a host accepts caller connections."""

    host: str
    address: str
    port: int
