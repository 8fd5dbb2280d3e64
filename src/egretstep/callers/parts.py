"""What a session holds and uses."""

import asyncio
import dataclasses
import typing

from egretstep import identifiers
from egretstep.backends import connection
from egretstep.limits import grants
from egretstep.routing import dispatcher
from egretstep.settings import deployment


@dataclasses.dataclass(slots=True, kw_only=True)
class Transaction:
    """The open transaction of a session.

    `host` and `server` are set once a server holds it.
    """

    pin_id: identifiers.PinId
    is_read_only: bool
    route: deployment.Route
    host: identifiers.HostName | None = None
    server: connection.ServerId = connection.ServerId('')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Services:
    """What every session of this host uses.

    Sessions begin once `is_configured` is set.
    """

    current: typing.Callable[[], deployment.Deployment]
    dispatcher: dispatcher.Dispatcher
    admitter: grants.HostRateLimiter
    release_here: typing.Callable[[identifiers.PinId], None]
    is_stopping: typing.Callable[[], bool]
    is_configured: asyncio.Event
