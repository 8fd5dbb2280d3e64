"""Client of the platform's interface that promotes servers."""

from egretstep import errors, identifiers
from egretstep.backends import connection
from egretstep.platform import fenced_calls
from egretstep.replication import failover
from egretstep.settings import deployment, node

REQUEST_TIMEOUT_SECONDS = 1.0
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
        self._caller = fenced_calls.FencedCaller(address=address, host=host)

    async def promote(
        self,
        *,
        service: deployment.ServiceName,
        server: connection.ServerId,
        epoch: int,
        timeout: float,
    ) -> None:
        """Make a server the primary of a service.

        `epoch` is that of the caller's lease. Raises
        `failover.PromotionRefusedError` if the request was refused or not
        sent, and `errors.PlatformError` if its outcome is not known.
        """
        try:
            response = await self._caller.post(
                '/promotion',
                {'service': service, 'id': server},
                epoch=epoch,
                timeout=min(timeout, REQUEST_TIMEOUT_SECONDS),
            )
        except errors.PlatformUnreachableError as error:
            raise failover.PromotionRefusedError(str(error)) from error
        if response.status == fenced_calls.OK:
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
            f'{fenced_calls.quote_body(response)}',
        )
