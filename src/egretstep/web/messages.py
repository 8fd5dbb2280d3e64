"""Reads complete HTTP messages from a stream."""

import asyncio
import dataclasses

import h11

READ_SIZE_BYTES = 65536


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Message:
    """An HTTP request or response with its body."""

    head: h11.Request | h11.Response
    body: bytes


async def read(
    protocol: h11.Connection,
    reader: asyncio.StreamReader,
) -> Message | None:
    """Return the next message, or None if the peer closed the connection.

    Raises `h11.ProtocolError` if the message is malformed or incomplete.
    """
    head = await _next_event(protocol, reader)
    if not isinstance(head, (h11.Request, h11.Response)):
        return None
    body = bytearray()
    while True:
        event = await _next_event(protocol, reader)
        if not isinstance(event, h11.Data):
            return Message(head=head, body=bytes(body))
        body += event.data


async def _next_event(
    protocol: h11.Connection,
    reader: asyncio.StreamReader,
) -> h11.Event | type:
    event = protocol.next_event()
    while event is h11.NEED_DATA:
        protocol.receive_data(await reader.read(READ_SIZE_BYTES))
        event = protocol.next_event()
    return event
