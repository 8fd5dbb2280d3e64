"""Exceptions of egretstep, and the refusals that callers receive.

A refusal has a MySQL error code, an SQLSTATE, the outcome of the request
and, where a retry may succeed, the time after which to retry. Codes from
45001 on are in the range that MySQL leaves to users. Messages of exceptions
and refusals name the remedy.
"""

import dataclasses
import enum

from egretstep import identifiers

SQLSTATE_GENERAL = 'HY000'
SQLSTATE_ACCESS = '28000'
SQLSTATE_DENIED = '42000'
SQLSTATE_ROLLBACK = '40001'
SQLSTATE_CONNECTION = '08S01'


class RefusalKind(enum.Enum):
    """Kinds of refusal, each with its MySQL error code and SQLSTATE."""

    ACCESS_DENIED = (1045, SQLSTATE_ACCESS)
    DATABASE_DENIED = (1044, SQLSTATE_DENIED)
    NO_DATABASE = (1046, '3D000')
    SYNTAX = (1064, SQLSTATE_DENIED)
    MANY_STATEMENTS = (1235, SQLSTATE_DENIED)
    WRONG_VALUE = (1231, SQLSTATE_DENIED)
    KEY_WITHDRAWN = (45001, SQLSTATE_ACCESS)
    RATE_EXCEEDED = (45002, SQLSTATE_GENERAL)
    OVERLOADED = (45003, SQLSTATE_GENERAL)
    UNAVAILABLE = (45004, SQLSTATE_GENERAL)
    NOT_OWNER = (45005, SQLSTATE_GENERAL)
    ZONE_OUT = (45006, SQLSTATE_CONNECTION)
    STOPPING = (45007, SQLSTATE_CONNECTION)
    SETTINGS_STALE = (45008, SQLSTATE_GENERAL)
    TRANSACTION_LOST = (45009, SQLSTATE_ROLLBACK)
    DEADLINE = (45010, SQLSTATE_GENERAL)
    OUTCOME_UNKNOWN = (45011, SQLSTATE_GENERAL)
    TOO_LARGE = (45012, SQLSTATE_GENERAL)

    @property
    def code(self) -> int:
        """Return the MySQL error code."""
        return self.value[0]

    @property
    def sql_state(self) -> str:
        """Return the SQLSTATE, which has five characters."""
        return self.value[1]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Reason why egretstep did not answer a request with a result.

    `outcome` tells whether the statement may have run. `retry_after_ms` is
    the time after which a retry is useful; zero means at once.
    """

    kind: RefusalKind
    message: str
    outcome: identifiers.Outcome = identifiers.Outcome.NOT_RUN
    retry_after_ms: int = 0

    def text(self) -> str:
        """Return the message that the caller sees."""
        parts = [self.message, f'outcome: {self.outcome.value}']
        if self.retry_after_ms:
            parts.append(f'retry after {self.retry_after_ms} ms')
        return '; '.join(parts)


class EgretstepError(Exception):
    """Base class of the errors that egretstep raises."""


class RefusedError(EgretstepError):
    """A request was refused; `refusal` is what the caller receives."""

    def __init__(self, *, refusal: Refusal) -> None:
        super().__init__(refusal.text())
        self.refusal = refusal


class SettingsError(EgretstepError):
    """Settings are invalid; the message names the path, value and remedy."""


class MalformedFieldError(EgretstepError, ValueError):
    """A field that another program wrote is missing or has no valid value."""


class ConflictError(EgretstepError):
    """A version changed since it was read; read it again and retry."""


class PlatformError(EgretstepError):
    """A service of the platform refused a request or did not answer."""


class PlatformUnreachableError(PlatformError):
    """A request was not sent, as no connection could be opened in time."""


class LinkError(EgretstepError):
    """A link between two programs is down, and the request was not sent."""


class LinkLostError(EgretstepError):
    """A link was lost after the request was sent; its outcome is unknown."""


class DatabaseServerError(EgretstepError):
    """A database server can't be reached or sent a malformed answer."""


class NotSentError(DatabaseServerError):
    """A statement was not sent to the server and so has not run."""
