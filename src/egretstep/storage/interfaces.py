"""Interfaces to the platform's table service and the database servers."""

import dataclasses
import typing

from egretstep import identifiers


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A record of the table service; version 0 means that it does not exist."""

    version: int
    body: typing.Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListedHost:
    """A host in the platform's list of hosts."""

    host: str
    zone: str
    address: str
    agent_port: int
    pool_port: int
    leaving: bool = False


class TableService(typing.Protocol):
    """Transactional table of the platform.

    All methods raise `errors.PlatformError` if the platform does not answer.
    A write without an answer may still have taken effect.
    """

    async def read(self, key: str) -> Row:
        """Return a record, at least as new as at the time of the call."""

    async def compare_and_swap(
        self, key: str, *, expected: int, body: typing.Any
    ) -> int:
        """Replace a record if it has the version `expected`.

        Returns the new version. Raises `errors.ConflictError` if the record
        has another version.
        """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerStatus:
    """Status that a database server reports after a control statement.

    `accepted` tells whether the statement took effect. `received` is the end
    of the server's log, and `applied` the position up to which its reads see
    the log.
    """

    accepted: bool
    server: identifiers.ServerName
    primary: bool
    promised_term: identifiers.Term
    promised_owner: str
    received: identifiers.LogPosition
    applied: identifiers.LogPosition


class DatabaseControl(typing.Protocol):
    """Control statements to one database server.

    All methods raise `errors.DatabaseServerError` if the server does not
    answer in time; the statement may still have taken effect.
    """

    async def fence(
        self,
        *,
        term: identifiers.Term,
        owner: str,
    ) -> ServerStatus:
        """Fence the server: it promises a term to an owner, or renews that."""

    async def promote(
        self,
        *,
        term: identifiers.Term,
        owner: str,
    ) -> ServerStatus:
        """Make the server the primary of a term that it has promised."""

    async def follow(
        self,
        *,
        term: identifiers.Term,
        owner: str,
        primary_port: int,
    ) -> ServerStatus:
        """Make the server a replica of the primary of a term."""

    async def status(self) -> ServerStatus:
        """Return the status without changing anything."""

    async def close(self) -> None:
        """Close the control connection."""
