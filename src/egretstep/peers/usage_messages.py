"""Messages in which hosts send each other counts of usage."""

import dataclasses
import typing

from egretstep import clock, identifiers
from egretstep.usage import collector

Struct = typing.Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsageCall:
    """Counts of the caller and of hosts whose counts it keeps.

    `recorded_until` is the latest window of which the caller has heard that
    its report is recorded, and `time_of_day` is that of the caller, None if
    it has jumped.
    """

    caller: identifiers.HostName
    counts: collector.SourceCounts
    recorded_until: int
    time_of_day: float | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsageReply:
    """Whether the called host is the holder, and what it knows.

    `fleet_time` is the median of the hosts' times of day, None if not known.
    """

    is_serving: bool
    recorded_until: int
    fleet_time: float | None


def encode_call(call: UsageCall) -> dict[str, typing.Any]:
    """Encode a call as the parameters of `reportUsage`."""
    return {
        'caller': call.caller,
        'recordedUntil': call.recorded_until,
        'timeMs': clock.to_milliseconds(call.time_of_day or 0),
        'windows': [
            {
                'host': source[0],
                'boot': source[1],
                'window': window,
                'counts': [
                    {'workspace': workspace, 'count': counted}
                    for workspace, counted in counts.items()
                ],
            }
            for (source, window), counts in call.counts.items()
        ],
    }


def decode_call(
    caller: str,
    windows: typing.Iterable[Struct],
    recorded_until: int,
    time_ms: int,
) -> UsageCall:
    """Decode the parameters of `reportUsage`."""
    return UsageCall(
        caller=identifiers.HostName(caller),
        counts={
            _decode_key(struct): {
                identifiers.WorkspaceName(each.workspace): each.count
                for each in struct.counts
            }
            for struct in windows
        },
        recorded_until=recorded_until,
        time_of_day=_decode_time(time_ms),
    )


def _decode_key(struct: Struct) -> tuple[collector.Source, int]:
    source = (identifiers.HostName(struct.host), struct.boot)
    return source, struct.window


def encode_reply(reply: UsageReply, encoded: Struct) -> None:
    """Set the results of `reportUsage`."""
    encoded.serving = reply.is_serving
    encoded.recordedUntil = reply.recorded_until
    encoded.timeMs = clock.to_milliseconds(reply.fleet_time or 0)


def decode_reply(encoded: Struct) -> UsageReply:
    """Decode the results of `reportUsage`."""
    return UsageReply(
        is_serving=encoded.serving,
        recorded_until=encoded.recordedUntil,
        fleet_time=_decode_time(encoded.timeMs),
    )


def _decode_time(time_ms: int) -> float | None:
    """Decode a time; zero says that it is not known."""
    return clock.to_seconds(time_ms) if time_ms else None
