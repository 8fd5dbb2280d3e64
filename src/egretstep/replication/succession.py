"""Chooses the next primary of a service and has it promoted."""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.backends import answers, connection
from egretstep.membership import registry
from egretstep.settings import deployment

STATUS_SECONDS = 0.4
EXAMINATIONS = 2
EXAMINATION_PAUSE_SECONDS = 0.1
CATCH_UP_SECONDS = 0.5
LEAVE_SECONDS = 2.5
POLL_SECONDS = 0.05
LONGEST_PROMOTION_SECONDS = 3.0
FIRST_EXPECTED_SECONDS = 0.5
CONTROL_NAME = identifiers.WorkspaceName('egretstep')
_logger = logbook.Logger('succession')

Record = typing.Callable[[connection.ServerId], typing.Awaitable[None]]


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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server with what it said of itself."""

    server: connection.BackendServer
    status: connection.ServerStatus


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Examined:
    """Whether a server answers at all, and its status if it gave one."""

    is_alive: bool
    status: connection.ServerStatus | None = None


class Succession:
    """Finds and replaces primaries.

    A server that is to get no new work gets none `leave_within` seconds
    after this host heard of it, whether or not another one was promoted.
    """

    def __init__(
        self,
        *,
        servers: registry.ServerRegistry,
        opener: connection.Opener,
        promotions: Promotions,
        leave_within: float = LEAVE_SECONDS,
        time_source: clock.Clock,
    ) -> None:
        self._servers = servers
        self._opener = opener
        self._promotions = promotions
        self._clock = time_source
        self._leave_within = leave_within
        self._leaving_since: dict[connection.ServerId, float] = {}
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
        if self._servers.takes_work(current):
            self._leaving_since.pop(server.server, None)
            return None
        self._leaving_since.setdefault(server.server, self._clock.now())
        return 'it is to get no new work'

    def is_overdue(self, server: connection.BackendServer) -> bool:
        """Tell whether a server must not get any work any more."""
        since = self._leaving_since.get(server.server)
        if since is None or self._servers.takes_work(server):
            return False
        return self._clock.now() - since > self._leave_within

    async def examine(self, server: connection.BackendServer) -> Examined:
        """Find out whether a server answers and what it is."""
        for _ in range(EXAMINATIONS):
            examined = await self._examine(server)
            if examined.is_alive:
                return examined
            await asyncio.sleep(EXAMINATION_PAUSE_SECONDS)
        return examined

    async def find_primary(
        self,
        service: deployment.ServiceName,
        recorded: connection.ServerId,
    ) -> Candidate | None:
        """Return the primary of the latest term.

        `recorded` is the server that the last owner used; another one is
        only believed if its term is later or nothing was recorded.
        """
        found = await self._survey(service)
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
        record: Record,
        is_owner: typing.Callable[[], bool],
    ) -> Candidate | None:
        """Promote the server that has received most.

        `known` is a position that the next primary must have, where the
        former one still runs. `record` is told the choice before the order.
        `is_owner` is asked right before it, since the questions take time.
        Returns none when nobody can be promoted.
        """
        found = await self._survey(service, former)
        chosen = self._choose(found)
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
        await record(chosen.server.server)
        if not is_owner():
            _logger.warning('service {}: the lease ended, no order', service)
            return None
        await self._promotions.promote(
            service=service,
            server=chosen.server.server,
            epoch=epoch,
        )
        latest = max(candidate.status.term for candidate in found)
        return await self._await_primary(chosen, latest)

    def _choose(self, found: list[Candidate]) -> Candidate | None:
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

    async def _await_primary(
        self,
        chosen: Candidate,
        latest: identifiers.Term,
    ) -> Candidate | None:
        """Wait until a server leads a later term than all before.

        One that led before it was promoted may still lead the old term.
        """
        deadline = self._clock.now() + LONGEST_PROMOTION_SECONDS
        while self._clock.now() < deadline:
            await asyncio.sleep(POLL_SECONDS)
            status = await self._status(chosen.server)
            if status is None or status.role is not connection.Role.PRIMARY:
                continue
            if status.term > latest:
                self._usual_seconds = self._clock.now() - self._started_at
                return Candidate(server=chosen.server, status=status)
        _logger.warning('{} did not become primary', chosen.server.server)
        return None

    async def _survey(
        self,
        service: deployment.ServiceName,
        former: connection.BackendServer | None = None,
    ) -> list[Candidate]:
        """Ask all servers of a service but its former primary."""
        servers = [
            server
            for server in self._servers.of_service(service)
            if former is None or server.server != former.server
        ]
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
        return (await self._examine(server)).status

    async def _examine(self, server: connection.BackendServer) -> Examined:
        try:
            async with asyncio.timeout(STATUS_SECONDS):
                status = await self._ask_status(server)
        except connection.RefusedConnectionError as error:
            _logger.info('{} refuses its status: {}', server.server, error)
            is_alive = error.code is not answers.Code.WRONG_SERVER
            return Examined(is_alive=is_alive)
        except (errors.EgretstepError, TimeoutError) as error:
            _logger.info('{} gives no status: {!r}', server.server, error)
            return Examined(is_alive=False)
        return Examined(is_alive=True, status=status)

    async def _ask_status(
        self,
        server: connection.BackendServer,
    ) -> connection.ServerStatus:
        opened = await self._opener.open(server, CONTROL_NAME)
        try:
            return await opened.status()
        finally:
            opened.close()
