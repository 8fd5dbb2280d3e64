"""Client of the platform's interface that promotes servers."""

import orjson

from egretstep import errors, identifiers
from egretstep.backends import connection
from egretstep.settings import deployment, node
from egretstep.web import client as http

REQUEST_TIMEOUT_SECONDS = 1.0
MAX_QUOTED_BODY_BYTES = 200
_OK = 200


class PlatformPromotions:
    """Asks the platform to promote servers, as one host."""

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
        """Make a server the primary of a service.

        The platform takes `epoch`, that of the caller's lease, as the
        fencing token. Raises `errors.PlatformError` when the request was
        refused or got no answer; without an answer the promotion may have
        taken place.
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
        response = await self._client.call(
            request, timeout=REQUEST_TIMEOUT_SECONDS
        )
        if response.status != _OK:
            raise errors.PlatformError(
                f'the platform answered {response.status} to the promotion of '
                f'{server} for {service} in epoch {epoch}: '
                f'{response.body[:MAX_QUOTED_BODY_BYTES]!r}',
            )
