"""Selection and promotion of the next primary of a service."""

import asyncio
import enum
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.backends import connection
from egretstep.membership import registry
from egretstep.replication import (
    candidates,
    log_holders,
    primary_record,
    server_probe,
    successor_choice,
)
from egretstep.settings import deployment

DEFAULT_DRAIN_SECONDS = 2.5
POLL_INTERVAL_SECONDS = 0.05
MAX_PROMOTION_SECONDS = 3.0
INITIAL_EXPECTED_SECONDS = 0.5
_logger = logbook.Logger('succession')

# Returns whether the next owner will certainly know the record.
SaveRecord = typing.Callable[
    [primary_record.PrimaryRecord], typing.Awaitable[bool]
]


class PromotionRefusedError(errors.PlatformError):
    """A promotion was refused, or its request was not sent: it has no effect."""


class Promotions(typing.Protocol):
    """Requests promotions from the platform."""

    async def promote(
        self,
        *,
        service: deployment.ServiceName,
        server: connection.ServerId,
        epoch: int,
        timeout: float,
    ) -> None:
        """Request that a server becomes the primary of a service.

        `epoch` is that of the owner's lease. Nothing is sent after `timeout`
        seconds. Raises `PromotionRefusedError`
        if the request certainly has no effect, and `errors.PlatformError`
        if that is not known.
        """


class _Outcome(enum.Enum):
    """What is known of an ordered promotion."""

    ORDERED = 'ordered'
    NOT_ORDERED = 'not ordered'
    UNKNOWN = 'unknown'


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
        current_deployment: typing.Callable[[], deployment.Deployment],
        drain_seconds: float = DEFAULT_DRAIN_SECONDS,
        time_source: clock.Clock,
    ) -> None:
        self._servers = servers
        self._promotions = promotions
        self._clock = time_source
        self._drain_seconds = drain_seconds
        self._started_at = time_source.now()
        self._expected_seconds = INITIAL_EXPECTED_SECONDS
        self._checked_registrations: dict[
            connection.ServerId, tuple[int, int]
        ] = {}
        self.probe = server_probe.ServerProbe(opener=opener)
        self.holders = log_holders.LogHolders(
            servers=servers,
            probe=self.probe,
            current_deployment=current_deployment,
            time_source=time_source,
        )
        self.choice = successor_choice.SuccessorChoice(
            servers=servers,
            probe=self.probe,
            holders=self.holders,
            current_deployment=current_deployment,
            time_source=time_source,
        )

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
        """Return why a primary needs a planned replacement, or None."""
        current = self._servers.find(server.server)
        if current is None:
            return 'it is no longer registered'
        if self._servers.takes_work(current):
            return None
        return 'it is to get no new work'

    def is_drain_overdue(self, server: connection.BackendServer) -> bool:
        """Return whether a server has taken no new work for too long.

        So has one whose entry is gone.
        """
        if self._servers.find(server.server) is None:
            return True
        since = self._servers.no_work_since(server)
        if since is None:
            return False
        return self._clock.now() - since > self._drain_seconds

    async def find_primary(
        self,
        service: deployment.ServiceName,
        record: primary_record.PrimaryRecord,
    ) -> candidates.Candidate | None:
        """Return the server that leads the latest term.

        If the recorded server does not answer, no other server is returned,
        because that one may still lead an old term. While a promotion is
        pending, its outcome is waited for, and no other server is returned.
        Returns None when the primary is not known for sure.
        """
        if record.is_pending:
            return await self._await_ordered(service, record)
        found = await self.probe.find_candidates(
            self._servers.of_service(service)
        )
        latest = max(
            (each for each in found if _is_accepted(record, each)),
            key=lambda each: each.status.term,
            default=None,
        )
        seen = {each.server.server for each in found}
        if not record.server or record.server in seen:
            return latest
        return None

    async def is_superseded(
        self, primary: connection.BackendServer, term: identifiers.Term
    ) -> bool:
        """Return whether a server no longer leads, or another leads later.

        Servers are asked whose registration suggests it, once for each
        registration.
        """
        for server in self._servers.of_service(primary.service):
            is_own = server.server == primary.server
            if (server.role is connection.Role.REPLICA) is not is_own:
                continue
            # A restarted server counts its registrations anew.
            registration = (server.started_ms, server.sequence)
            if self._checked_registrations.get(server.server) == registration:
                continue
            self._checked_registrations[server.server] = registration
            status = await self.probe.status(server)
            if status is not None and _supersedes(status, term, is_own=is_own):
                _logger.warning(
                    'service {}: primary {} of term {} is superseded: {} '
                    'reports {}',
                    primary.service,
                    primary.server,
                    term,
                    server.server,
                    status,
                )
                return True
        return False

    async def replace(
        self,
        change: successor_choice.Change,
        *,
        save: SaveRecord,
        remaining_lease: typing.Callable[[], float],
    ) -> candidates.Candidate | None:
        """Promote a server that has every acknowledged commit.

        A server that leads already is returned at once. `save` records an
        order before it goes out. `remaining_lease` returns the seconds for
        which the lease of the owner holds; the order goes out in this time.
        Returns None when no server was promoted, or none is known to be.
        Raises `ChangePostponedError` if the change may be postponed and no
        server has caught up.
        """
        choice = await self.choice.choose(change)
        if choice is None:
            return None
        if choice.leads and _is_accepted(change.record, choice.candidate):
            return choice.candidate
        record = choice.pending_record(change.record)
        outcome = _Outcome.NOT_ORDERED
        is_saved = await save(record)
        if is_saved and remaining_lease() > 0:
            outcome = await self._order(change, record, remaining_lease())
        elif is_saved:
            _logger.warning(
                'service {}: {} is not promoted: the lease has ended',
                change.service,
                record.server,
            )
        else:
            _logger.warning(
                'service {}: {} is not promoted: neither the store nor a '
                'majority of the hosts has the record of it',
                change.service,
                record.server,
            )
        if outcome is _Outcome.NOT_ORDERED:
            await save(change.record)
            return None
        if outcome is _Outcome.UNKNOWN:
            return None
        return await self._await_leader(choice.candidate.server, record)

    async def _order(
        self,
        change: successor_choice.Change,
        record: primary_record.PrimaryRecord,
        timeout: float,
    ) -> _Outcome:
        try:
            await self._promotions.promote(
                service=change.service,
                server=record.server,
                epoch=change.epoch,
                timeout=timeout,
            )
        except PromotionRefusedError as error:
            _logger.warning(
                'service {}: the promotion of {} was refused: {}',
                change.service,
                record.server,
                error,
            )
            return _Outcome.NOT_ORDERED
        except errors.PlatformError as error:
            _logger.warning(
                'service {}: the promotion of {} may take effect: {}',
                change.service,
                record.server,
                error,
            )
            return _Outcome.UNKNOWN
        return _Outcome.ORDERED

    async def _await_ordered(
        self,
        service: deployment.ServiceName,
        record: primary_record.PrimaryRecord,
    ) -> candidates.Candidate | None:
        """Wait for the outcome of a promotion that was ordered before."""
        server = self.holders.find(service, record, record.server)
        if server is None:
            return None
        _logger.info(
            'service {}: waiting for the promotion of {}',
            service,
            record.server,
        )
        return await self._await_leader(server, record)

    async def _await_leader(
        self,
        server: connection.BackendServer,
        record: primary_record.PrimaryRecord,
    ) -> candidates.Candidate | None:
        """Wait until a server that was ordered to lead does so.

        It may still report an old term in which it was primary before.
        """
        deadline = self._clock.now() + MAX_PROMOTION_SECONDS
        while self._clock.now() < deadline:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            status = await self.probe.status(server)
            if status is not None and record.accepts(server.server, status):
                self._expected_seconds = self._clock.now() - self._started_at
                return candidates.Candidate(server=server, status=status)
        _logger.warning(
            'server {} did not become primary within {} s',
            server.server,
            MAX_PROMOTION_SECONDS,
        )
        return None


def _is_accepted(
    record: primary_record.PrimaryRecord, candidate: candidates.Candidate
) -> bool:
    return record.accepts(candidate.server.server, candidate.status)


def _supersedes(
    status: connection.ServerStatus, term: identifiers.Term, *, is_own: bool
) -> bool:
    is_primary = status.role is connection.Role.PRIMARY
    if is_own:
        return not is_primary
    return is_primary and status.term > term
