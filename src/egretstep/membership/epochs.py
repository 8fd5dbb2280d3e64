"""Builds the claim of a task's next epoch."""

from egretstep.membership import claims, directory, fencing


def first_claim(
    task: claims.TaskName,
    *,
    own: directory.Host,
    era: int,
    is_settled: bool,
) -> claims.Claim:
    """Return the claim with which a host takes a task without a claim."""
    return claims.Claim(
        task=task,
        host=own.host,
        boot=own.boot,
        epoch=fencing.next_number(0, era),
        is_settled=is_settled,
    )


def next_claim(
    former: claims.Claim,
    *,
    hosts: directory.Directory,
    era: int,
) -> claims.Claim:
    """Return the claim with which this host takes over a task.

    `era` is the store's era.
    """
    return claims.Claim(
        task=former.task,
        host=hosts.own.host,
        boot=hosts.own.boot,
        epoch=fencing.next_number(former.epoch, era),
        is_settled=_has_stopped(former, hosts, era),
        detail=former.detail,
    )


def handover_claim(
    own: claims.Claim,
    successor: directory.Host,
    *,
    era: int,
) -> claims.Claim:
    """Return the claim with which this host hands over its task."""
    return claims.Claim(
        task=own.task,
        host=successor.host,
        boot=successor.boot,
        epoch=fencing.next_number(own.epoch, era),
        is_released=True,
        detail=own.detail,
    )


def _has_stopped(
    former: claims.Claim,
    hosts: directory.Directory,
    era: int,
) -> bool:
    """Return whether no other host can still have a valid lease.

    That is so if the holder has released the task. It is also so if its
    claim is settled, so that no earlier lease is left, and the holder is
    this host or has restarted since. After a claim of a former era, there
    may have been later ones that the store has lost.
    """
    if fencing.era_of(former.epoch) != era:
        return False
    if former.is_released:
        return True
    if not former.is_settled:
        return False
    if former.host == hosts.own.host:
        return True
    host = hosts.hosts.get(former.host)
    return host is not None and host.boot > former.boot
