"""Ranks the hosts that should run each task of the fleet.

Every host computes the same ranking from the same rows: hosts in the task's
availability zone come first, then those with the most CPU cores per held
task, and the rendezvous score breaks ties. Two hosts that have read
different rows may both claim a task; the store accepts only one claim.
"""

import collections
import dataclasses
import heapq
import typing

from egretstep import identifiers
from egretstep.membership import claims, directory, rendezvous


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Task:
    """A task that one host must run, preferably one of a zone."""

    name: claims.TaskName
    zone: identifiers.ZoneName


Ranking = typing.Mapping[claims.TaskName, typing.Sequence[directory.Host]]


def rank_hosts(
    *,
    tasks: typing.Iterable[Task],
    known: typing.Mapping[claims.TaskName, claims.Claim],
    hosts: directory.Directory,
    limit: int,
) -> Ranking:
    """Return up to `limit` usable hosts for each task, the best one first.

    `known` are the latest claims. A task that no usable host holds counts as
    held by its first host, so that the tasks of a lost host are spread over
    several hosts.
    """
    unheld: list[Task] = []
    held: list[Task] = []
    load: collections.Counter[identifiers.HostName] = collections.Counter()
    for task in sorted(tasks, key=lambda each: each.name):
        claim = known.get(task.name)
        if claim is not None and hosts.is_usable(claim.host):
            load[claim.host] += 1
            held.append(task)
        else:
            unheld.append(task)
    usable = hosts.usable()
    ranking: dict[claims.TaskName, list[directory.Host]] = {}
    for task in unheld:
        ranking[task.name] = rank_hosts_for_task(task, load, usable, limit)
        load.update(host.host for host in ranking[task.name][:1])
    for task in held:
        ranking[task.name] = rank_hosts_for_task(task, load, usable, limit)
    return ranking


def rank_hosts_for_task(
    task: Task,
    load: typing.Mapping[identifiers.HostName, int],
    usable: typing.Sequence[directory.Host],
    limit: int,
) -> list[directory.Host]:
    """Return up to `limit` hosts for a task, the best one first.

    `load` is the number of tasks held by each host.
    """
    zone_hosts = [host for host in usable if host.zone == task.zone]
    return heapq.nsmallest(
        limit,
        zone_hosts if len(zone_hosts) >= limit else usable,
        key=lambda host: (
            host.zone != task.zone,
            (load.get(host.host, 0) + 1) / host.processor,
            -rendezvous.score(key=task.name, host=host.host),
        ),
    )
