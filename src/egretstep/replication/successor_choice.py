"""The search for a server that can become the next primary of a service."""

import asyncio
import dataclasses
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
)
from egretstep.settings import deployment

MAX_CATCH_UP_SECONDS = 0.5
POLL_INTERVAL_SECONDS = 0.05
_logger = logbook.Logger('succession')


class ChangePostponedError(errors.EgretstepError):
    """No server has caught up, and the former primary can go on meanwhile."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A change of the primary of a service.

    `former` is the primary to replace; it is not a candidate. `epoch` is that
    of the owner's lease. `record` is what is recorded of the primary; a server
    whose promotion was ordered already is chosen again, since it may still
    take effect. `acknowledged` covers every acknowledged commit, and
    is None if no such position is known. `may_postpone` tells whether the
    former primary can go on until another server has caught up.
    """

    service: deployment.ServiceName
    former: connection.BackendServer | None
    record: primary_record.PrimaryRecord
    epoch: int
    acknowledged: identifiers.LogPosition | None
    may_postpone: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The server to promote, and the latest term that any server reported."""

    candidate: candidates.Candidate
    latest_term: identifiers.Term

    @property
    def leads(self) -> bool:
        """Return whether the server leads the latest term already."""
        status = self.candidate.status
        is_primary = status.role is connection.Role.PRIMARY
        return is_primary and status.term == self.latest_term

    def pending_record(
        self, former: primary_record.PrimaryRecord
    ) -> primary_record.PrimaryRecord:
        """Return the record of an order to promote the server.

        An order for one that leads already changes nothing but orders before
        it, so that its term is good enough.
        """
        former_term = self.latest_term - 1 if self.leads else self.latest_term
        return dataclasses.replace(
            former,
            server=self.candidate.server.server,
            term=identifiers.Term(former_term),
            is_pending=True,
        )


class SuccessorChoice:
    """Asks the servers of a service which of them may lead it."""

    def __init__(
        self,
        *,
        servers: registry.ServerRegistry,
        probe: server_probe.ServerProbe,
        holders: log_holders.LogHolders,
        current_deployment: typing.Callable[[], deployment.Deployment],
        time_source: clock.Clock,
    ) -> None:
        self._servers = servers
        self._probe = probe
        self._holders = holders
        self._current_deployment = current_deployment
        self._clock = time_source

    async def has_successor(self, change: Change) -> bool:
        """Return whether a server that takes work has caught up.

        True at once if the change may not be postponed.
        """
        if not change.may_postpone or change.acknowledged is None:
            return True
        asked = [
            asyncio.ensure_future(self._probe.status(server))
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

    async def choose(self, change: Change) -> Choice | None:
        """Return the server to promote, None if none may be promoted.

        Raises `ChangePostponedError` if the change may be postponed and no
        server has caught up.
        """
        evidence = await self._collect_evidence(change)
        chosen = self._find_ordered(change, evidence) or candidates.choose(
            evidence, takes_work=self._servers.takes_work
        )
        if chosen is None:
            self._log_no_choice(change, evidence)
            return None
        if chosen in evidence.unregistered:
            _logger.warning(
                'service {}: only {} has every acknowledged commit, and it has '
                'no entry in the store; it leads without statements until a '
                'registered server has its log',
                change.service,
                chosen.server.server,
            )
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
        reported = (*evidence.found, *evidence.unregistered)
        terms = [each.status.term for each in reported]
        latest = max(*terms, change.record.term)
        return Choice(candidate=chosen, latest_term=latest)

    def _find_ordered(
        self, change: Change, evidence: candidates.Evidence
    ) -> candidates.Candidate | None:
        """Return the server whose promotion is pending, if it answers.

        It had every acknowledged commit when its promotion was ordered, and
        nothing has been acknowledged since.
        """
        if not change.record.is_pending:
            return None
        for each in (*evidence.found, *evidence.unregistered):
            if each.server.server == change.record.server:
                return each
        return None

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
        lapsed = self._holders.unregistered(change.service, change.record)
        found, unregistered = await asyncio.gather(
            self._probe.find_candidates(others),
            self._probe.find_candidates([
                each for each in lapsed if not _is_former(change, each)
            ]),
        )
        reported = {each.server.process for each in (*found, *unregistered)}
        unknown = _holders(change, others) - reported
        current = self._current_deployment().services.get(change.service)
        return candidates.Evidence(
            found=found,
            unregistered=unregistered,
            unknown_count=len(unknown),
            acknowledged=change.acknowledged,
            sync_replicas=current.sync_replicas if current else 0,
            can_catch_up=change.may_postpone,
        )

    def _others(self, change: Change) -> list[connection.BackendServer]:
        """Return the servers of the service, except the former primary."""
        return [
            server
            for server in self._servers.of_service(change.service)
            if not _is_former(change, server)
        ]

    def _log_no_choice(
        self, change: Change, evidence: candidates.Evidence
    ) -> None:
        _logger.warning(
            'service {}: no server can be promoted (required: {}, synchronous '
            'replicas: {}, servers without an answer: {}, found: {}, without '
            'an entry: {})',
            change.service,
            evidence.required,
            evidence.sync_replicas,
            evidence.unknown_count,
            {each.server.server: each.status for each in evidence.found},
            {each.server.server: each.status for each in evidence.unregistered},
        )


def _holders(
    change: Change, others: typing.Sequence[connection.BackendServer]
) -> set[tuple[connection.ServerId, int]]:
    """Return the processes that may hold acknowledged commits."""
    holders = {server.process for server in others}
    holders |= {each.process for each in change.record.log_holders}
    if change.former is not None:
        holders.add(change.former.process)
    recorded = change.record.server
    if recorded and all(server != recorded for server, _ in holders):
        holders.add((recorded, 0))
    return holders


def _is_former(change: Change, server: connection.BackendServer) -> bool:
    return change.former is not None and (server.server == change.former.server)
