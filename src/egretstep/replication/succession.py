"""Chooses the next primary of a service and has it promoted."""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.backends import connection
from egretstep.settings import deployment

STATUS_SECONDS = 0.4
EXAMINATIONS = 2
EXAMINATION_PAUSE_SECONDS = 0.1
CATCH_UP_SECONDS = 0.5
POLL_SECONDS = 0.05
LONGEST_PROMOTION_SECONDS = 3.0
FIRST_EXPECTED_SECONDS = 1.5
CONTROL_NAME = identifiers.WorkspaceName('egretstep')
_logger = logbook.Logger('succession')


class Promotions(typing.Protocol):
    """Orders promotions at the platform."""

    async def promote(
        self,
        *,
        service: deployment.ServiceName,
        server: connection.ServerId,
        epoch: int,
    ) -> None:
        """Make a server the primary; raises `errors.PlatformError`."""


class Servers(typing.Protocol):
    """The registered servers."""

    def of_service(
        self,
        service: deployment.ServiceName,
    ) -> list[connection.BackendServer]:
        """Return the servers of a service."""

    def find(
        self,
        server: connection.ServerId,
    ) -> connection.BackendServer | None:
        """Return a server, or none if it is gone."""

    def takes_work(self, server: connection.BackendServer) -> bool:
        """Tell whether a server is to get new work."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server with what it said of itself."""

    server: connection.BackendServer
    status: connection.ServerStatus


class Succession:
    """Finds and replaces primaries."""

    def __init__(
        self,
        *,
        servers: Servers,
        opener: connection.Opener,
        promotions: Promotions,
        time_source: clock.Clock,
    ) -> None:
        self._servers = servers
        self._opener = opener
        self._promotions = promotions
        self._clock = time_source
        self._started_at = time_source.now()
        self._usual_seconds = FIRST_EXPECTED_SECONDS

    def note_start(self) -> None:
        """Remember when the present change began."""
        self._started_at = self._clock.now()

    def expected_seconds(self) -> float:
        """Return how long the present change is likely to go on."""
        elapsed = self._clock.now() - self._started_at
        return max(POLL_SECONDS, self._usual_seconds - elapsed)

    def refreshed(
        self,
        server: connection.BackendServer,
    ) -> connection.BackendServer | None:
        """Return a server as it is registered now."""
        return self._servers.find(server.server)

    def reason_to_leave(self, server: connection.BackendServer) -> str | None:
        """Return why a primary must be replaced on plan, if it must."""
        current = self._servers.find(server.server)
        if current is None:
            return 'it is no longer registered'
        if not self._servers.takes_work(current):
            return 'it is to get no new work'
        return None

    async def examine(
        self,
        server: connection.BackendServer,
    ) -> connection.ServerStatus | None:
        """Ask a server how it is; none if it gives no answer."""
        for _ in range(EXAMINATIONS):
            status = await self._status(server)
            if status is not None:
                return status
            await asyncio.sleep(EXAMINATION_PAUSE_SECONDS)
        return None

    async def find_primary(
        self,
        service: deployment.ServiceName,
    ) -> Candidate | None:
        """Return the primary of the latest term."""
        primaries = [
            candidate
            for candidate in await self._survey(service)
            if candidate.status.role is connection.Role.PRIMARY
        ]
        if not primaries:
            return None
        return max(primaries, key=lambda found: found.status.term)

    async def replace(
        self,
        service: deployment.ServiceName,
        former: connection.BackendServer | None,
        *,
        epoch: int,
        known: identifiers.LogPosition | None,
    ) -> Candidate | None:
        """Promote the server that has received most.

        `known` is a position that the next primary must have, where the
        former one still runs. Returns none when nobody can be promoted.
        """
        chosen = await self._choose(service, former)
        if chosen is None:
            _logger.warning('service {}: no server can be promoted', service)
            return None
        if known is not None:
            chosen = await self._caught_up(chosen, known)
        _logger.info(
            'service {}: promoting {} at {} (epoch {})',
            service,
            chosen.server.server,
            chosen.status.received,
            epoch,
        )
        await self._promotions.promote(
            service=service,
            server=chosen.server.server,
            epoch=epoch,
        )
        return await self._await_primary(chosen)

    async def _choose(
        self,
        service: deployment.ServiceName,
        former: connection.BackendServer | None,
    ) -> Candidate | None:
        found = [
            candidate
            for candidate in await self._survey(service)
            if former is None or candidate.server.server != former.server
        ]
        fit = [each for each in found if self._servers.takes_work(each.server)]
        return max(
            fit or found,
            key=lambda each: each.status.received,
            default=None,
        )

    async def _caught_up(
        self,
        chosen: Candidate,
        known: identifiers.LogPosition,
    ) -> Candidate:
        deadline = self._clock.now() + CATCH_UP_SECONDS
        while chosen.status.received < known:
            if self._clock.now() > deadline:
                _logger.warning(
                    '{} is still at {}, before {}',
                    chosen.server.server,
                    chosen.status.received,
                    known,
                )
                break
            await asyncio.sleep(POLL_SECONDS)
            status = await self._status(chosen.server)
            if status is not None:
                chosen = Candidate(server=chosen.server, status=status)
        return chosen

    async def _await_primary(self, chosen: Candidate) -> Candidate | None:
        started = self._clock.now()
        deadline = started + LONGEST_PROMOTION_SECONDS
        while self._clock.now() < deadline:
            await asyncio.sleep(POLL_SECONDS)
            status = await self._status(chosen.server)
            if status is not None and status.role is connection.Role.PRIMARY:
                self._usual_seconds = self._clock.now() - self._started_at
                return Candidate(server=chosen.server, status=status)
        _logger.warning('{} did not become primary', chosen.server.server)
        return None

    async def _survey(
        self,
        service: deployment.ServiceName,
    ) -> list[Candidate]:
        servers = self._servers.of_service(service)
        statuses = await asyncio.gather(
            *(self._status(server) for server in servers)
        )
        return [
            Candidate(server=server, status=status)
            for server, status in zip(servers, statuses, strict=True)
            if status is not None
        ]

    async def _status(
        self,
        server: connection.BackendServer,
    ) -> connection.ServerStatus | None:
        try:
            async with asyncio.timeout(STATUS_SECONDS):
                opened = await self._opener.open(server, CONTROL_NAME)
                try:
                    return await opened.status()
                finally:
                    opened.close()
        except (errors.EgretstepError, TimeoutError) as error:
            _logger.info('{} gives no status: {!r}', server.server, error)
            return None
