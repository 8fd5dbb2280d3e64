"""Spreads the fleet's tasks over its hosts.

Every host computes the same order from the same rows: the hosts of the
task's zone first, of these the ones that have the most processor for each of
their tasks, and the hash decides among equals. Where two hosts know different rows for a moment
both may claim a task; the store lets one of them win.
"""

import collections
import dataclasses
import heapq
import typing

from egretstep import identifiers
from egretstep.membership import claims, directory, rendezvous


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
    most: int,
) -> Ranking:
    """Return up to a number of usable hosts of each task, the best one first.

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
    usable = hosts.usable()
    ranking: dict[claims.TaskName, list[directory.Host]] = {}
    for task in waiting:
        ranking[task.name] = rank_one(task, held, usable, most)
        held.update(host.host for host in ranking[task.name][:1])
    for task in settled:
        ranking[task.name] = rank_one(task, held, usable, most)
    return ranking


def rank_one(
    task: Task,
    held: typing.Mapping[identifiers.HostName, int],
    usable: typing.Sequence[directory.Host],
    most: int,
) -> list[directory.Host]:
    """Return the first hosts of one task, given how many each one holds."""
    near = [host for host in usable if host.zone == task.zone]
    return heapq.nsmallest(
        most,
        near if len(near) >= most else usable,
        key=lambda host: (
            host.zone != task.zone,
            (held.get(host.host, 0) + 1) / host.processor,
            -rendezvous.score(key=task.name, host=host.host),
        ),
    )
