"""Client of the platform's interface that promotes servers."""

import orjson

from egretstep import errors, identifiers
from egretstep.backends import connection
from egretstep.replication import failover
from egretstep.settings import deployment, node
from egretstep.web import client as http

REQUEST_TIMEOUT_SECONDS = 1.0
MAX_QUOTED_BODY_BYTES = 200
_OK = 200
# The platform says by these that it has done nothing.
_REFUSED = frozenset((400, 403, 404, 409, 429, 503))


class PlatformPromotions:
    """Asks the platform to promote servers, as one host."""

    def __init__(
        self,
        *,
        address: node.Address,
        host: identifiers.HostName,
    ) -> None:
        self._address = address
        self._host = host

    async def promote(
        self,
        *,
        service: deployment.ServiceName,
        server: connection.ServerId,
        epoch: int,
        timeout: float,
    ) -> None:
        """Make a server the primary of a service.

        The platform takes `epoch`, that of the caller's lease, as the
        fencing token. Raises `failover.PromotionRefusedError` if the request
        was refused or not sent, and `errors.PlatformError` if its outcome is
        not known. Each call has a connection of its own: on one that went
        silent unnoticed, a request would be sent and its outcome unknown.
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
        client = http.HttpClient(address=self._address)
        try:
            response = await client.call(
                request, timeout=min(timeout, REQUEST_TIMEOUT_SECONDS)
            )
        except errors.PlatformUnreachableError as error:
            raise failover.PromotionRefusedError(str(error)) from error
        finally:
            client.close()
        if response.status == _OK:
            return
        is_refused = response.status in _REFUSED
        error_type = (
            failover.PromotionRefusedError
            if is_refused
            else errors.PlatformError
        )
        raise error_type(
            f'the platform answered {response.status} to the promotion of '
            f'{server} for {service} in epoch {epoch}: '
            f'{response.body[:MAX_QUOTED_BODY_BYTES]!r}',
        )
