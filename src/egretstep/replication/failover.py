"""Selection and promotion of the next primary of a service."""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.backends import answers, connection
from egretstep.membership import registry
from egretstep.settings import deployment

STATUS_TIMEOUT_SECONDS = 0.4
LIVENESS_ATTEMPTS = 2
LIVENESS_RETRY_SECONDS = 0.1
MAX_CATCH_UP_SECONDS = 0.5
DEFAULT_DRAIN_SECONDS = 2.5
POLL_INTERVAL_SECONDS = 0.05
MAX_PROMOTION_SECONDS = 3.0
INITIAL_EXPECTED_SECONDS = 0.5
CONTROL_WORKSPACE = identifiers.WorkspaceName('egretstep')
_logger = logbook.Logger('succession')

RecordPrimary = typing.Callable[[connection.ServerId], typing.Awaitable[None]]


class Promotions(typing.Protocol):
    """Requests promotions from the platform."""

    async def promote(
        self,
        *,
        service: deployment.ServiceName,
        server: connection.ServerId,
        epoch: int,
    ) -> None:
        """Request that a server becomes the primary of a service.

        `epoch` is that of the owner's lease. Raises `errors.PlatformError`
        if the platform does not accept the request.
        """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server and the status that it reported."""

    server: connection.BackendServer
    status: connection.ServerStatus


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Liveness:
    """Whether a server answers, and its status if it reported one."""

    is_alive: bool
    status: connection.ServerStatus | None = None


class FailoverCoordinator:
    """Finds the primary of a service and replaces it.

    A server that must take no new work may remain primary for
    `drain_seconds` seconds after this host learned of it. After that it gets
    no work, whether or not another server has been promoted.
    """

    def __init__(
        self,
        *,
        servers: registry.ServerRegistry,
        opener: connection.Opener,
        promotions: Promotions,
        drain_seconds: float = DEFAULT_DRAIN_SECONDS,
        time_source: clock.Clock,
    ) -> None:
        self._servers = servers
        self._opener = opener
        self._promotions = promotions
        self._clock = time_source
        self._drain_seconds = drain_seconds
        self._draining_since: dict[connection.ServerId, float] = {}
        self._started_at = time_source.now()
        self._expected_seconds = INITIAL_EXPECTED_SECONDS

    def start_timer(self) -> None:
        """Record that a replacement of the primary begins now."""
        self._started_at = self._clock.now()

    def expected_seconds(self) -> float:
        """Estimate the seconds until the primary's replacement is complete.

        It is assumed to take as long as the last replacement did.
        """
        elapsed = self._clock.now() - self._started_at
        return max(POLL_INTERVAL_SECONDS, self._expected_seconds - elapsed)

    def registered(
        self,
        server: connection.BackendServer,
    ) -> connection.BackendServer | None:
        """Return the current registration of a server, or None."""
        return self._servers.find(server.server)

    def planned_replacement_reason(
        self, server: connection.BackendServer
    ) -> str | None:
        """Return why a primary needs a planned replacement, or None.

        The first call for a server that must take no new work starts the
        time that `is_drain_overdue` measures.
        """
        current = self._servers.find(server.server)
        if current is None:
            return 'it is no longer registered'
        if self._servers.takes_work(current):
            self._draining_since.pop(server.server, None)
            return None
        self._draining_since.setdefault(server.server, self._clock.now())
        return 'it is to get no new work'

    def is_drain_overdue(self, server: connection.BackendServer) -> bool:
        """Return whether a server has been draining for too long."""
        since = self._draining_since.get(server.server)
        if since is None or self._servers.takes_work(server):
            return False
        return self._clock.now() - since > self._drain_seconds

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

    async def find_primary(
        self,
        service: deployment.ServiceName,
        recorded: connection.ServerId,
    ) -> Candidate | None:
        """Return the server that reports to be primary of the latest term.

        `recorded` is the primary that the last owner recorded, or empty. If
        the recorded server does not answer, no other server is returned,
        because that one may still lead an old term. Returns None when the
        primary is not known for sure.
        """
        found = await self._query_candidates(service)
        primaries = [
            candidate
            for candidate in found
            if candidate.status.role is connection.Role.PRIMARY
        ]
        latest = max(
            primaries,
            key=lambda candidate: candidate.status.term,
            default=None,
        )
        if latest is None or not recorded:
            return latest
        if latest.server.server == recorded:
            return latest
        seen = {candidate.server.server for candidate in found}
        return latest if recorded in seen else None

    async def replace(
        self,
        service: deployment.ServiceName,
        former: connection.BackendServer | None,
        *,
        epoch: int,
        known: identifiers.LogPosition | None,
        record: RecordPrimary,
        is_owner: typing.Callable[[], bool],
    ) -> Candidate | None:
        """Promote the server that has received the most of the log.

        `former` is the primary to replace; it is not a candidate. `known` is
        a position that the next primary should reach first, given while the
        former one still runs. `record` stores the choice before the
        promotion is requested. `is_owner` is checked right before the
        request, because the lease may end during the queries. Returns None
        when no server was promoted. Raises `errors.PlatformError` if the
        platform refuses the request.
        """
        found = await self._query_candidates(service, former)
        chosen = self._choose_candidate(found)
        if chosen is None:
            _logger.warning(
                'service {}: no server can be promoted: none reports its status',
                service,
            )
            return None
        if known is not None:
            chosen = await self._wait_for_catch_up(chosen, known)
        _logger.info(
            'service {}: promoting {} at position {} (epoch {})',
            service,
            chosen.server.server,
            chosen.status.received,
            epoch,
        )
        await record(chosen.server.server)
        if not is_owner():
            _logger.warning(
                'service {}: {} is not promoted: the lease has ended',
                service,
                chosen.server.server,
            )
            return None
        await self._promotions.promote(
            service=service,
            server=chosen.server.server,
            epoch=epoch,
        )
        latest = max(candidate.status.term for candidate in found)
        return await self._await_primary(chosen, latest)

    def _choose_candidate(self, found: list[Candidate]) -> Candidate | None:
        eligible = [
            candidate
            for candidate in found
            if self._servers.takes_work(candidate.server)
        ]
        return max(
            eligible or found,
            key=lambda candidate: candidate.status.received,
            default=None,
        )

    async def _wait_for_catch_up(
        self,
        chosen: Candidate,
        known: identifiers.LogPosition,
    ) -> Candidate:
        deadline = self._clock.now() + MAX_CATCH_UP_SECONDS
        while chosen.status.received < known:
            if self._clock.now() > deadline:
                _logger.warning(
                    'server {} is at {} and has not caught up to {}',
                    chosen.server.server,
                    chosen.status.received,
                    known,
                )
                break
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            status = await self._query_status(chosen.server)
            if status is not None:
                chosen = Candidate(server=chosen.server, status=status)
        return chosen

    async def _await_primary(
        self,
        chosen: Candidate,
        latest: identifiers.Term,
    ) -> Candidate | None:
        """Wait until the chosen server is primary of a later term.

        A server that was primary before may still report its old term.
        """
        deadline = self._clock.now() + MAX_PROMOTION_SECONDS
        while self._clock.now() < deadline:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            status = await self._query_status(chosen.server)
            if status is None or status.role is not connection.Role.PRIMARY:
                continue
            if status.term > latest:
                self._expected_seconds = self._clock.now() - self._started_at
                return Candidate(server=chosen.server, status=status)
        _logger.warning(
            'server {} did not become primary within {} s',
            chosen.server.server,
            MAX_PROMOTION_SECONDS,
        )
        return None

    async def _query_candidates(
        self,
        service: deployment.ServiceName,
        former: connection.BackendServer | None = None,
    ) -> list[Candidate]:
        """Return all servers that report a status, except the former primary."""
        servers = [
            server
            for server in self._servers.of_service(service)
            if former is None or server.server != former.server
        ]
        statuses = await asyncio.gather(
            *(self._query_status(server) for server in servers)
        )
        return [
            Candidate(server=server, status=status)
            for server, status in zip(servers, statuses, strict=True)
            if status is not None
        ]

    async def _query_status(
        self,
        server: connection.BackendServer,
    ) -> connection.ServerStatus | None:
        return (await self._check_once(server)).status

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
            is_alive = error.code is not answers.Code.WRONG_SERVER
            return Liveness(is_alive=is_alive)
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
