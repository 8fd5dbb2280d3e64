"""Spreads the fleet's tasks over its hosts.

Every host computes the same order from the same rows: the hosts of the
task's zone first, of these the ones with the fewest other tasks, and the
hash decides among equals. Where two hosts know different rows for a moment
both may claim a task; the store lets one of them win.
"""

import collections
import dataclasses
import typing

from egretstep import identifiers
from egretstep.membership import claims, directory


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Task:
    """A task that one host must do, best one of a zone."""

    name: claims.TaskName
    zone: identifiers.ZoneName


Ranking = typing.Mapping[claims.TaskName, typing.Sequence[directory.Host]]


def rank_hosts(
    *,
    tasks: typing.Iterable[Task],
    known: typing.Mapping[claims.TaskName, claims.Claim],
    hosts: directory.Directory,
) -> Ranking:
    """Return the usable hosts of each task, the best one first.

    A task that no usable host holds counts for its first host, so that one
    host does not get all tasks of another one that was lost.
    """
    waiting: list[Task] = []
    settled: list[Task] = []
    held: collections.Counter[identifiers.HostName] = collections.Counter()
    for task in sorted(tasks, key=lambda each: each.name):
        claim = known.get(task.name)
        if claim is not None and hosts.is_usable(claim.host):
            held[claim.host] += 1
            settled.append(task)
        else:
            waiting.append(task)
    ranking: dict[claims.TaskName, list[directory.Host]] = {}
    for task in waiting:
        ranking[task.name] = rank_one(task, held, hosts)
        held.update(host.host for host in ranking[task.name][:1])
    for task in settled:
        ranking[task.name] = rank_one(task, held, hosts)
    return ranking


def rank_one(
    task: Task,
    held: typing.Mapping[identifiers.HostName, int],
    hosts: directory.Directory,
) -> list[directory.Host]:
    """Return the usable hosts of one task, given how many each one holds."""
    return sorted(
        hosts.preferred(task.name, task.zone),
        key=lambda host: (host.zone != task.zone, held.get(host.host, 0)),
    )
