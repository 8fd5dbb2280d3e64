"""The services that sessions share, and the transaction of a session."""

import asyncio
import dataclasses
import typing

from egretstep import identifiers
from egretstep.backends import connection
from egretstep.limits import host_limiter
from egretstep.routing import dispatcher
from egretstep.settings import deployment
from egretstep.supervision import stop_deadline


@dataclasses.dataclass(slots=True, kw_only=True)
class Transaction:
    """The open transaction of a session.

    `pin_id` names the server connection that is reserved for it. `host` and
    `server` are set when the first statement opens it on a server, and `host`
    is None again when that server no longer holds it. `spent_seconds` is the
    time of its statements so far, BEGIN included, without the pauses between.
    """

    pin_id: identifiers.PinId
    is_read_only: bool
    route: deployment.Route
    host: identifiers.HostName | None = None
    server: connection.ServerId = connection.ServerId('')
    spent_seconds: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SessionServices:
    """Services that the sessions of this host share.

    `current_deployment` returns the configuration in force. `release_here`
    rolls back the transaction of a pin that this host holds. Sessions start
    when `is_configured` is set, that is, when routes and keys are known.
    `stop` tells which statements are taken on when this host stops.
    """

    current_deployment: typing.Callable[[], deployment.Deployment]
    dispatcher: dispatcher.Dispatcher
    rate_limiter: host_limiter.HostRateLimiter
    release_here: typing.Callable[[identifiers.PinId], None]
    stop: stop_deadline.StopDeadline
    is_configured: asyncio.Event
