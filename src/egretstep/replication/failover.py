"""Selection and promotion of the next primary of a service."""

import asyncio
import dataclasses
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.backends import connection
from egretstep.membership import registry
from egretstep.replication import candidates, server_probe
from egretstep.settings import deployment

MAX_CATCH_UP_SECONDS = 0.5
DEFAULT_DRAIN_SECONDS = 2.5
POLL_INTERVAL_SECONDS = 0.05
MAX_PROMOTION_SECONDS = 3.0
INITIAL_EXPECTED_SECONDS = 0.5
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


class ChangePostponedError(errors.EgretstepError):
    """No server has caught up, and the former primary can go on meanwhile."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A change of the primary of a service.

    `former` is the primary to replace; it is not a candidate. `epoch` is that
    of the owner's lease. `recorded` is the primary that the last owner
    recorded, or empty. `acknowledged` covers every acknowledged commit, and
    is None if no such position is known. `may_postpone` tells whether the
    former primary can go on until another server has caught up.
    """

    service: deployment.ServiceName
    former: connection.BackendServer | None
    recorded: connection.ServerId
    epoch: int
    acknowledged: identifiers.LogPosition | None
    may_postpone: bool = False


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
        self._current_deployment = current_deployment
        self._clock = time_source
        self._drain_seconds = drain_seconds
        self._started_at = time_source.now()
        self._expected_seconds = INITIAL_EXPECTED_SECONDS
        self.probe = server_probe.ServerProbe(opener=opener)

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
        """Return whether a server has taken no new work for too long."""
        since = self._servers.no_work_since(server)
        if since is None:
            return False
        return self._clock.now() - since > self._drain_seconds

    async def find_primary(
        self,
        service: deployment.ServiceName,
        recorded: connection.ServerId,
    ) -> candidates.Candidate | None:
        """Return the server that reports to be primary of the latest term.

        `recorded` is the primary that the last owner recorded, or empty. If
        the recorded server does not answer, no other server is returned,
        because that one may still lead an old term. Returns None when the
        primary is not known for sure.
        """
        found = await self.probe.find_candidates(
            self._servers.of_service(service)
        )
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

    async def has_successor(self, change: Change) -> bool:
        """Return whether a server that takes work has caught up.

        True at once if the change may not be postponed.
        """
        if not change.may_postpone or change.acknowledged is None:
            return True
        asked = [
            asyncio.ensure_future(self.probe.status(server))
            for server in self._others(change)
            if self._servers.takes_work(server)
        ]
        try:
            for each in asyncio.as_completed(asked):
                status = await each
                if status and status.received >= change.acknowledged:
                    return True
        finally:
            for query in asked:
                query.cancel()
        return False

    async def replace(
        self,
        change: Change,
        *,
        record: RecordPrimary,
        is_owner: typing.Callable[[], bool],
    ) -> candidates.Candidate | None:
        """Promote a server that has every acknowledged commit.

        `record` stores the choice before the promotion is requested.
        `is_owner` is checked right before the request, because the lease may
        end during the queries. Returns None when no server was promoted.
        Raises `ChangePostponedError` if the change may be postponed and no
        server has caught up, and `errors.PlatformError` if the platform
        refuses the request.
        """
        evidence = await self._collect_evidence(change)
        chosen = candidates.choose(
            evidence, takes_work=self._servers.takes_work
        )
        if chosen is None:
            self._log_no_choice(change, evidence)
            return None
        _logger.info(
            'service {}: promoting {} at position {} (epoch {}, acknowledged: '
            '{}, servers without an answer: {})',
            change.service,
            chosen.server.server,
            chosen.status.received,
            change.epoch,
            change.acknowledged,
            evidence.unknown_count,
        )
        await record(chosen.server.server)
        if not is_owner():
            _logger.warning(
                'service {}: {} is not promoted: the lease has ended',
                change.service,
                chosen.server.server,
            )
            return None
        await self._promotions.promote(
            service=change.service,
            server=chosen.server.server,
            epoch=change.epoch,
        )
        latest = max(candidate.status.term for candidate in evidence.found)
        return await self._await_primary(chosen, latest)

    async def _collect_evidence(self, change: Change) -> candidates.Evidence:
        """Query the servers until one that takes work has caught up.

        If none has within `MAX_CATCH_UP_SECONDS`, the latest answers count.
        """
        deadline = self._clock.now() + MAX_CATCH_UP_SECONDS
        while True:
            evidence = await self._query_once(change)
            has_successor = any(
                self._servers.takes_work(each.server)
                for each in evidence.complete
            )
            if has_successor or not self._may_improve(change, evidence):
                return evidence
            if self._clock.now() > deadline:
                break
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        if change.may_postpone:
            raise ChangePostponedError(
                f'no server of {change.service} that takes work has caught up '
                f'to {change.acknowledged}',
            )
        return evidence

    def _may_improve(
        self, change: Change, evidence: candidates.Evidence
    ) -> bool:
        """Return whether the same question may soon find a better server.

        A replica catches up only while the former primary runs. A server
        that gave no answer may have been slow.
        """
        if change.may_postpone:
            return True
        unanswered = len(self._others(change)) - len(evidence.found)
        return not evidence.complete and unanswered > 0

    async def _query_once(self, change: Change) -> candidates.Evidence:
        others = self._others(change)
        found = await self.probe.find_candidates(others)
        members = {server.server for server in others}
        if change.former is not None:
            members.add(change.former.server)
        if change.recorded:
            members.add(change.recorded)
        current = self._current_deployment().services.get(change.service)
        return candidates.Evidence(
            found=found,
            unknown_count=len(members) - len(found),
            acknowledged=change.acknowledged,
            sync_replicas=current.sync_replicas if current else 0,
        )

    def _others(self, change: Change) -> list[connection.BackendServer]:
        """Return the servers of the service, except the former primary."""
        former = change.former.server if change.former else None
        return [
            server
            for server in self._servers.of_service(change.service)
            if server.server != former
        ]

    def _log_no_choice(
        self, change: Change, evidence: candidates.Evidence
    ) -> None:
        _logger.warning(
            'service {}: no server can be promoted (required: {}, synchronous '
            'replicas: {}, servers without an answer: {}, found: {})',
            change.service,
            evidence.required,
            evidence.sync_replicas,
            evidence.unknown_count,
            {each.server.server: each.status for each in evidence.found},
        )

    async def _await_primary(
        self,
        chosen: candidates.Candidate,
        latest: identifiers.Term,
    ) -> candidates.Candidate | None:
        """Wait until the chosen server is primary of a later term.

        A server that was primary before may still report its old term.
        """
        deadline = self._clock.now() + MAX_PROMOTION_SECONDS
        while self._clock.now() < deadline:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            status = await self.probe.status(chosen.server)
            if status is None or status.role is not connection.Role.PRIMARY:
                continue
            if status.term > latest:
                self._expected_seconds = self._clock.now() - self._started_at
                return candidates.Candidate(server=chosen.server, status=status)
        _logger.warning(
            'server {} did not become primary within {} s',
            chosen.server.server,
            MAX_PROMOTION_SECONDS,
        )
        return None
