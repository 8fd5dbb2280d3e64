"""Builds the claim of a task's next epoch."""

from egretstep.membership import claims, directory


def next_claim(
    task: claims.TaskName,
    former: claims.Claim | None,
    hosts: directory.Directory,
) -> claims.Claim:
    """Return the claim with which this host takes over a task."""
    own = hosts.own
    return claims.Claim(
        task=task,
        host=own.host,
        boot=own.boot,
        epoch=former.epoch + 1 if former else 1,
        is_settled=former is None or _has_stopped(former, hosts),
        detail=former.detail if former else '',
    )


def handover_claim(
    own: claims.Claim,
    successor: directory.Host,
) -> claims.Claim:
    """Return the claim with which this host hands over its task."""
    return claims.Claim(
        task=own.task,
        host=successor.host,
        boot=successor.boot,
        epoch=own.epoch + 1,
        is_released=True,
        detail=own.detail,
    )


def _has_stopped(former: claims.Claim, hosts: directory.Directory) -> bool:
    """Return whether no other host can still have a valid lease.

    That is so if the holder has released the task. It is also so if its
    claim is settled, so that no earlier lease is left, and the holder is
    this host or has restarted since.
    """
    if former.is_released:
        return True
    if not former.is_settled:
        return False
    if former.host == hosts.own.host:
        return True
    host = hosts.hosts.get(former.host)
    return host is not None and host.boot > former.boot
