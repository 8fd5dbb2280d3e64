"""Orders promotions at the platform."""

import orjson

from egretstep import errors, identifiers
from egretstep.backends import connection
from egretstep.settings import deployment, node
from egretstep.web import client as http

CALL_SECONDS = 1.0
SHOWN_BYTES = 200
_OK = 200


class PlatformPromotions:
    """Calls to the platform that name the next primary of a service."""

    def __init__(
        self,
        *,
        address: node.Address,
        host: identifiers.HostName,
    ) -> None:
        self._client = http.HttpClient(address=address)
        self._host = host

    async def promote(
        self,
        *,
        service: deployment.ServiceName,
        server: connection.ServerId,
        epoch: int,
    ) -> None:
        """Make a server the primary, as the owner of an epoch.

        Raises `errors.PlatformError` when the order was refused or got no
        answer; without an answer it may have been carried out.
        """
        request = http.Request(
            method='POST',
            target='/promotion',
            body=orjson.dumps({'service': service, 'id': server}),
            headers=(
                ('Egretstep-Lease-Holder', self._host),
                ('Egretstep-Fencing-Token', str(epoch)),
            ),
        )
        response = await self._client.call(request, timeout=CALL_SECONDS)
        if response.status != _OK:
            raise errors.PlatformError(
                f'the promotion of {server} got {response.status}: '
                f'{response.body[:SHOWN_BYTES]!r}',
            )
