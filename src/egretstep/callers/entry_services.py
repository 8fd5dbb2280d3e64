"""Services that the sessions of an entry share."""

import dataclasses
import typing

from egretstep import clock, identifiers
from egretstep.membership import view
from egretstep.observability import traces
from egretstep.routing import relay, statements


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryServices:
    """Services of one entry, which all of its sessions use.

    `current_view` returns the latest settings and hosts, or None before the
    first ones arrive. `zone` is the availability zone of this host.
    """

    current_view: typing.Callable[[], view.FleetView | None]
    relay: relay.Relay
    classifier: statements.StatementClassifier
    tracer: traces.Tracer
    time_source: clock.Clock
    zone: identifiers.ZoneName
    is_stopping: typing.Callable[[], bool]
