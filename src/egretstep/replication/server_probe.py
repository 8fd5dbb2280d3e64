"""Asks backend servers for their status, over a connection for each question."""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import errors, identifiers
from egretstep.backends import answers, connection
from egretstep.replication import candidates

STATUS_TIMEOUT_SECONDS = 0.4
LIVENESS_ATTEMPTS = 2
LIVENESS_RETRY_SECONDS = 0.1
CONTROL_WORKSPACE = identifiers.WorkspaceName('egretstep')
_logger = logbook.Logger('succession')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Liveness:
    """Whether a server answers, and its status if it reported one.

    `is_other_server` says that another server has its address by now.
    """

    is_alive: bool
    is_other_server: bool = False
    status: connection.ServerStatus | None = None


class ServerProbe:
    """Tells which servers answer, and what they report."""

    def __init__(self, *, opener: connection.Opener) -> None:
        self._opener = opener

    async def check_liveness(
        self, server: connection.BackendServer
    ) -> Liveness:
        """Check whether a server is alive; retries before it is called dead."""
        for _ in range(LIVENESS_ATTEMPTS):
            liveness = await self._check_once(server)
            if liveness.is_alive:
                return liveness
            await asyncio.sleep(LIVENESS_RETRY_SECONDS)
        return liveness

    async def status(
        self,
        server: connection.BackendServer,
    ) -> connection.ServerStatus | None:
        """Return the status of a server, None if it does not report one."""
        return (await self._check_once(server)).status

    async def find_candidates(
        self, servers: typing.Sequence[connection.BackendServer]
    ) -> list[candidates.Candidate]:
        """Return the servers that report their status."""
        statuses = await asyncio.gather(*map(self.status, servers))
        return [
            candidates.Candidate(server=server, status=status)
            for server, status in zip(servers, statuses, strict=True)
            if status is not None
        ]

    async def _check_once(self, server: connection.BackendServer) -> Liveness:
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
                status = await self._fetch_status(server)
        except connection.RefusedConnectionError as error:
            _logger.info(
                'server {} refuses to report its status: {}',
                server.server,
                error,
            )
            is_other = error.code is answers.Code.WRONG_SERVER
            return Liveness(is_alive=not is_other, is_other_server=is_other)
        except (errors.EgretstepError, TimeoutError) as error:
            _logger.info(
                'server {} does not report its status: {!r}',
                server.server,
                error,
            )
            return Liveness(is_alive=False)
        return Liveness(is_alive=True, status=status)

    async def _fetch_status(
        self,
        server: connection.BackendServer,
    ) -> connection.ServerStatus:
        control_connection = await self._opener.open(server, CONTROL_WORKSPACE)
        try:
            return await control_connection.status()
        finally:
            control_connection.close()
