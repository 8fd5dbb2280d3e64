"""Calls to the platform that only the holder of a task may make."""

import typing

import orjson

from egretstep import identifiers
from egretstep.settings import node
from egretstep.web import client as http

OK = 200
MAX_QUOTED_BODY_BYTES = 200


class FencedCaller:
    """Makes calls as one host, with the epoch of its lease.

    The platform takes the epoch as the fencing token. Each call has a
    connection of its own, which is reset if the call is given up: on one that
    went silent unnoticed, a request would be sent and its outcome unknown.
    """

    def __init__(
        self,
        *,
        address: node.Address,
        host: identifiers.HostName,
    ) -> None:
        self._address = address
        self._host = host

    async def post(
        self,
        target: str,
        fields: typing.Mapping[str, typing.Any],
        *,
        epoch: int,
        timeout: float,
    ) -> http.Response:
        """Send fields and return the response.

        Raises `errors.PlatformError` if there is none within `timeout`
        seconds, and `errors.PlatformUnreachableError` if nothing was sent.
        """
        request = http.Request(
            method='POST',
            target=target,
            body=orjson.dumps(fields, option=orjson.OPT_SORT_KEYS),
            headers=(
                ('Egretstep-Lease-Holder', self._host),
                ('Egretstep-Fencing-Token', str(epoch)),
            ),
        )
        client = http.HttpClient(address=self._address)
        try:
            return await client.call(request, timeout=timeout)
        finally:
            client.close()


def quote_body(response: http.Response) -> str:
    """Return the beginning of a response's body for an error message."""
    return repr(response.body[:MAX_QUOTED_BODY_BYTES])
