"""Chooses the server and host for each attempt of a statement.

Builds the candidates of `placement` from the registered servers, from their
load data and from what this host has learned of their failures.
"""

import dataclasses
import random
import typing

from egretstep import clock, identifiers
from egretstep.backends import answers, connection
from egretstep.membership import directory, registry
from egretstep.observability import metrics
from egretstep.pooling import work as work_module
from egretstep.routing import (
    cooldowns,
    placement,
    server_loads,
    server_trust,
)
from egretstep.settings import deployment

PRIMARY = connection.ServerId('')
_SERVER_FAILURES = frozenset((
    answers.Code.ABORTED,
    answers.Code.FAILED,
    answers.Code.TIMED_OUT,
    answers.Code.UNKNOWN_OUTCOME,
    answers.Code.WRONG_SERVER,
))
OwnerOf = typing.Callable[[deployment.ServiceName], identifiers.HostName | None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """Where an attempt goes.

    `server` is the replica, `PRIMARY` for the primary; `intended` is the id of
    the server also if it is the primary, empty if none is registered. `host`
    is None if no host owns the service.
    """

    host: identifiers.HostName | None
    server: connection.ServerId = PRIMARY
    intended: connection.ServerId = PRIMARY
    is_probe: bool = False


class ReadRouter:
    """Chooses targets and learns from the answers that they give."""

    def __init__(
        self,
        *,
        hosts: directory.Directory,
        servers: registry.ServerRegistry,
        owner_of: OwnerOf,
        loads: server_loads.ServerLoads,
        time_source: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._hosts = hosts
        self._servers = servers
        self._owner_of = owner_of
        self._loads = loads
        self._random = rng
        self._trust = server_trust.ServerTrust(time_source=time_source)
        self._behind = cooldowns.Cooldowns(time_source=time_source)
        self._failing = cooldowns.Cooldowns(time_source=time_source)

    def primary_target(self, service: deployment.ServiceName) -> Target:
        """Return the target for statements that only the primary may run."""
        primaries = [
            server.server
            for server in self._servers.of_service(service)
            if server.role is connection.Role.PRIMARY
        ]
        return Target(
            host=self._owner_of(service),
            intended=primaries[0] if primaries else PRIMARY,
        )

    def first_target(self, work: work_module.Work) -> Target:
        """Return the target for the first attempt of a read."""
        choice = placement.choose_first(
            self._candidates(work.service),
            priority=work.priority,
            margin=placement.zone_margin(
                target=work.target, timeout=work.timeout
            ),
            rng=self._random,
        )
        if choice is None:
            return self.primary_target(work.service)
        return self._target(choice)

    def next_target(
        self,
        work: work_module.Work,
        tried: typing.Collection[connection.ServerId],
    ) -> Target | None:
        """Return the target for another attempt of a read.

        None if each server was tried.
        """
        choice = placement.choose_next(
            self._candidates(work.service),
            tried,
            priority=work.priority,
            margin=placement.zone_margin(
                target=work.target, timeout=work.timeout
            ),
            rng=self._random,
        )
        return None if choice is None else self._target(choice)

    def record_sent(self, target: Target) -> server_loads.SentId:
        """Record that a statement is sent; return a number for its answer."""
        if target.is_probe:
            self._trust.record_probe_sent(target.intended)
        return self._loads.record_sent(target.intended)

    def record_answered(
        self,
        target: Target,
        sent_id: server_loads.SentId,
    ) -> None:
        """Record that a statement has ended, with or without an answer."""
        self._loads.record_answered(target.intended, sent_id)

    def record_outcome(self, target: Target, answer: answers.Answer) -> None:
        """Learn from an answer to a statement that reached its host."""
        is_bad = answer.code in _SERVER_FAILURES
        self.record_load(answer)
        if is_bad and answer.was_sent and answer.load is None:
            self._trust.record_lost(target.intended)
        else:
            self._trust.record_answered(target.intended)
        if target.is_probe and (is_bad or answer.is_ok):
            self._trust.record_probe_answer(target.intended, is_good=not is_bad)
        if target.server:
            self._record_refusal(target.server, answer)

    def record_load(self, answer: answers.Answer) -> None:
        """Learn from the load data of an answer, if it has any."""
        if answer.load is None:
            return
        self._loads.record(answer.load)
        self._trust.record_report(
            connection.ServerId(answer.load.server),
            answer.load.failure_share,
        )

    def record_lost(self, target: Target) -> None:
        """Learn that the link was lost before the answer arrived."""
        self._trust.record_lost(target.intended)
        if target.is_probe:
            self._trust.record_probe_answer(target.intended, is_good=False)
        if target.server:
            self._failing.start(target.server)

    def _record_refusal(
        self,
        server: connection.ServerId,
        answer: answers.Answer,
    ) -> None:
        """Avoid a replica for a while that could not run a statement.

        One that is only full is not avoided; its load data says enough.
        """
        if answer.is_ok or not answer.has_no_effect:
            return
        if answer.code is answers.Code.BEHIND:
            self._behind.start(server)
        elif answer.code is not answers.Code.OVERLOADED or answer.was_sent:
            self._failing.start(server)

    def _candidates(
        self,
        service: deployment.ServiceName,
    ) -> list[placement.Candidate]:
        owner = self._usable_owner(service)
        return [
            self._candidate(server, owner)
            for server in self._servers.of_service(service)
            if self._may_run(server, owner)
        ]

    def _may_run(
        self,
        server: connection.BackendServer,
        owner: identifiers.HostName | None,
    ) -> bool:
        if server.role is connection.Role.PRIMARY:
            return owner is not None
        is_behind = self._behind.is_active(server.server)
        return self._servers.takes_work(server) and not is_behind

    def _candidate(
        self,
        server: connection.BackendServer,
        owner: identifiers.HostName | None,
    ) -> placement.Candidate:
        server_id = server.server
        is_primary = server.role is connection.Role.PRIMARY
        host = owner if is_primary else self._replica_host(server)
        is_failing = self._failing.is_active(server_id)
        return placement.Candidate(
            server=server,
            is_primary=is_primary,
            is_remote=server.zone != self._hosts.own.zone,
            hop=self._hop(host),
            report=self._loads.report(server_id),
            unanswered=self._loads.unanswered_count(server_id),
            is_trusted=not is_failing and self._trust.is_trusted(server_id),
            is_probe_due=self._trust.is_probe_due(server_id),
        )

    def _target(self, choice: placement.Choice) -> Target:
        server = choice.candidate.server
        metrics.placed_reads.inc(server.role.value, choice.reason.value)
        is_probe = choice.reason is placement.Reason.PROBE
        if choice.candidate.is_primary:
            return Target(
                host=self._owner_of(server.service),
                intended=server.server,
                is_probe=is_probe,
            )
        return Target(
            host=self._replica_host(server),
            server=server.server,
            intended=server.server,
            is_probe=is_probe,
        )

    def _replica_host(
        self,
        server: connection.BackendServer,
    ) -> identifiers.HostName:
        return self._hosts.best(server.server, server.zone).host

    def _usable_owner(
        self,
        service: deployment.ServiceName,
    ) -> identifiers.HostName | None:
        owner = self._owner_of(service)
        if owner is None or self._hosts.is_suspected(owner):
            return None
        return owner

    def _hop(self, host: identifiers.HostName | None) -> placement.Hop:
        own = self._hosts.own
        if host == own.host:
            return placement.Hop.OWN_HOST
        known = self._hosts.hosts.get(host) if host else None
        if known is not None and known.zone == own.zone:
            return placement.Hop.OWN_ZONE
        return placement.Hop.OTHER_ZONE
