"""Which tasks of the fleet this host holds or may take over.

Load pattern: hundreds of hosts look at the fleet's tasks many times a second
and nothing has changed. Ranking costs hosts times tasks, so it is done after
a change only, and a look costs what this host has to do with.
"""

import dataclasses
import typing

from egretstep.membership import claims, directory, leases, spread

WATCHERS = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidacy:
    """A task that this host holds, or may take over.

    `rank` is this host's place among those that may take over; the holder
    has none.
    """

    task: spread.Task
    claim: claims.Claim | None
    rank: int | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Basis:
    """What the candidacies were worked out from."""

    tasks: typing.Sequence[spread.Task]
    hosts_revision: int
    claims_revision: int


class Candidacies:
    """The candidacies of this host, worked out anew after each change.

    `wanted` lists the tasks that there are now.
    """

    def __init__(
        self,
        *,
        keeper: leases.LeaseKeeper,
        hosts: directory.Directory,
        wanted: typing.Callable[[], typing.Sequence[spread.Task]],
    ) -> None:
        self._keeper = keeper
        self._hosts = hosts
        self._wanted = wanted
        self._basis: _Basis | None = None
        self._found: list[Candidacy] = []

    def current(self) -> typing.Sequence[Candidacy]:
        """Return the candidacies as of now."""
        basis = _Basis(
            tasks=self._wanted(),
            hosts_revision=self._hosts.revision,
            claims_revision=self._keeper.revision,
        )
        if basis != self._basis:
            self._basis = basis
            self._found = self._find(basis.tasks)
        return self._found

    def _find(self, tasks: typing.Sequence[spread.Task]) -> list[Candidacy]:
        known = self._keeper.known
        ranking = spread.rank_hosts(
            tasks=tasks,
            known=known,
            hosts=self._hosts,
            # The holder is among them and takes nothing over.
            most=WATCHERS + 1,
        )
        found = []
        for task in tasks:
            claim = known.get(task.name)
            is_holder = claim is not None and claim.host == self._hosts.own.host
            rank = self._rank(ranking[task.name], claim)
            if is_holder or rank is not None:
                found.append(Candidacy(task=task, claim=claim, rank=rank))
        return found

    def _rank(
        self,
        hosts: typing.Sequence[directory.Host],
        claim: claims.Claim | None,
    ) -> int | None:
        """Return this host's place among those that may take over."""
        holder = claim.host if claim else None
        ranked = [host.host for host in hosts if host.host != holder]
        own = self._hosts.own.host
        if own not in ranked[:WATCHERS]:
            return None
        return ranked.index(own)
