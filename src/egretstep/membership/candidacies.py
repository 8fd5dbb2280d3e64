"""Selects the tasks that this host holds or may take over.

Hundreds of hosts check the tasks of the fleet several times a second, mostly
without a change. Ranking takes time proportional to hosts times tasks, so it
is repeated only after a change; a check in between costs only as much as the
tasks that concern this host.
"""

import dataclasses
import typing

from egretstep.membership import claims, directory, leases, task_ranking

MAX_CANDIDATES = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidacy:
    """A task that this host holds or may take over.

    `rank` is the position of this host among the hosts that may take over,
    from zero; None if this host is not one of them, as the holder.
    """

    task: task_ranking.Task
    claim: claims.Claim | None
    rank: int | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Inputs:
    """The state from which the candidacies were computed."""

    tasks: typing.Sequence[task_ranking.Task]
    hosts_revision: int
    claims_revision: int


class Candidacies:
    """The candidacies of this host, recomputed after each change.

    `wanted` returns the current tasks of the fleet.
    """

    def __init__(
        self,
        *,
        keeper: leases.LeaseKeeper,
        hosts: directory.Directory,
        wanted: typing.Callable[[], typing.Sequence[task_ranking.Task]],
    ) -> None:
        self._keeper = keeper
        self._hosts = hosts
        self._list_tasks = wanted
        self._inputs: _Inputs | None = None
        self._cached: list[Candidacy] = []

    def current(self) -> typing.Sequence[Candidacy]:
        """Return the candidacies for the current tasks, claims and hosts."""
        inputs = _Inputs(
            tasks=self._list_tasks(),
            hosts_revision=self._hosts.revision,
            claims_revision=self._keeper.revision,
        )
        if inputs != self._inputs:
            self._inputs = inputs
            self._cached = self._compute(inputs.tasks)
        return self._cached

    def _compute(
        self, tasks: typing.Sequence[task_ranking.Task]
    ) -> list[Candidacy]:
        known = self._keeper.known
        ranking = task_ranking.rank_hosts(
            tasks=tasks,
            known=known,
            hosts=self._hosts,
            # One more, since the holder may be among them.
            limit=MAX_CANDIDATES + 1,
        )
        found = []
        for task in tasks:
            claim = known.get(task.name)
            is_holder = claim is not None and claim.host == self._hosts.own.host
            rank = self._own_rank(ranking[task.name], claim)
            if is_holder or rank is not None:
                found.append(Candidacy(task=task, claim=claim, rank=rank))
        return found

    def _own_rank(
        self,
        hosts: typing.Sequence[directory.Host],
        claim: claims.Claim | None,
    ) -> int | None:
        """Return this host's rank among the candidates, None if not one."""
        holder = claim.host if claim else None
        ranked = [host.host for host in hosts if host.host != holder]
        own = self._hosts.own.host
        if own not in ranked[:MAX_CANDIDATES]:
            return None
        return ranked.index(own)
